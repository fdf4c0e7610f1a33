/// Number of bisection steps; 40 halvings reduce the error of the level to well below one slot.
const BISECTION_STEPS: u32 = 40;

/// Demand of one team for the slots of a pool.
#[derive(Debug, Clone, Copy)]
pub struct SlotDemand {
    /// Weight of the team, above zero.
    pub weight: f64,
    /// Maximum number of slots that the team can use now.
    pub demand: f64,
}

/// Weighted max-min fair shares: divides `slots` between the teams in proportion to their weights.
/// No team receives more than its demand; slots that a team does not need go to the others. Returns
/// one target per team.
#[must_use]
pub fn slot_targets(slots: f64, teams: &[SlotDemand]) -> Vec<f64> {
    let target = |level: f64, team: &SlotDemand| (level * team.weight).min(team.demand);
    let total_demand: f64 = teams.iter().map(|team| team.demand).sum();
    if total_demand <= slots {
        return teams.iter().map(|team| team.demand).collect();
    }
    let mut low = 0.0;
    let mut high = teams
        .iter()
        .map(|team| team.demand / team.weight)
        .fold(0.0, f64::max);
    for _ in 0..BISECTION_STEPS {
        let level = f64::midpoint(low, high);
        let used: f64 = teams.iter().map(|team| target(level, team)).sum();
        if used > slots {
            high = level;
        } else {
            low = level;
        }
    }
    teams.iter().map(|team| target(low, team)).collect()
}
