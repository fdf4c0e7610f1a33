use super::DayDemand;

/// Variant of a demand, which raises the desired sizes of pools above the needed sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DemandVariant {
    /// Seconds by which size increases take effect ahead of their rows.
    pub(super) lead_seconds: u32,
    /// Whether instances that no pool needs all day are spread over the pools.
    pub(super) spreads_surplus: bool,
}

impl DemandVariant {
    pub(super) fn apply(self, demand: &DayDemand, fleet_size: u32) -> DayDemand {
        let mut varied = demand.clone();
        if self.lead_seconds > 0 {
            varied = advance_increases(&varied, self.lead_seconds);
        }
        if self.spreads_surplus {
            spread_surplus(&mut varied, fleet_size);
        }
        varied
    }
}

/// Adds a step `lead` seconds ahead of each step and raises each desired size to the largest one
/// within the lead.
fn advance_increases(demand: &DayDemand, lead: u32) -> DayDemand {
    let mut seconds: Vec<u32> = demand
        .steps
        .iter()
        .flat_map(|step| [step.second, step.second.saturating_sub(lead)])
        .collect();
    seconds.sort_unstable();
    seconds.dedup();
    let mut varied = demand.clone();
    varied.steps.clear();
    let mut current = 0;
    for second in seconds {
        while current + 1 < demand.steps.len() && demand.steps[current + 1].second <= second {
            current += 1;
        }
        let mut step = demand.steps[current].clone();
        step.second = second;
        for later in &demand.steps[current + 1..] {
            if later.second > second + lead {
                break;
            }
            for (desired, size) in step.desired.iter_mut().zip(&later.desired) {
                *desired = (*desired).max(*size);
            }
        }
        varied.steps.push(step);
    }
    varied
}

/// Spreads the instances that no step of the day needs over the pools, in proportion to the
/// largest desired size of each pool.
///
/// The proportions are the same all day: with the sizes of each step as weights, these instances
/// would move at every row.
fn spread_surplus(demand: &mut DayDemand, fleet_size: u32) {
    let most_desired = demand
        .steps
        .iter()
        .map(|step| step.desired.iter().sum::<u32>())
        .max()
        .unwrap_or_default();
    let surplus = fleet_size.saturating_sub(most_desired);
    let weights: Vec<u64> = (0..demand.pools.len())
        .map(|pool| {
            if demand.spare == Some(pool) || demand.closing[pool] {
                0
            } else {
                let sizes = demand.steps.iter().map(|step| step.desired[pool]);
                u64::from(sizes.max().unwrap_or_default())
            }
        })
        .collect();
    let total: u64 = weights.iter().sum();
    if surplus == 0 || total == 0 {
        return;
    }
    let mut assigned = 0;
    let mut weight_sum = 0;
    for (pool, weight) in weights.iter().enumerate() {
        weight_sum += weight;
        let goal = u32::try_from(u64::from(surplus) * weight_sum / total).unwrap_or(surplus);
        let extra = goal - assigned;
        assigned = goal;
        for step in &mut demand.steps {
            step.desired[pool] += extra;
        }
    }
}
