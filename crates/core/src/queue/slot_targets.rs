/// Rounds of bisection; 40 halvings bring the level well below one slot.
const ROUNDS: u32 = 40;

/// Demand of one team for the slots of a pool.
#[derive(Debug, Clone, Copy)]
pub struct SlotDemand {
    /// Weight of the team, above zero.
    pub weight: f64,
    /// Most slots that the team can use now.
    pub demand: f64,
}

/// Divides `slots` in proportion to the weights, none above its demand. What a team does not need
/// goes to the others. Returns one target per team.
#[must_use]
pub fn slot_targets(slots: f64, teams: &[SlotDemand]) -> Vec<f64> {
    let at = |level: f64, team: &SlotDemand| (level * team.weight).min(team.demand);
    let wanted: f64 = teams.iter().map(|team| team.demand).sum();
    if wanted <= slots {
        return teams.iter().map(|team| team.demand).collect();
    }
    let mut low = 0.0;
    let mut high = teams
        .iter()
        .map(|team| team.demand / team.weight)
        .fold(0.0, f64::max);
    for _ in 0..ROUNDS {
        let level = f64::midpoint(low, high);
        let used: f64 = teams.iter().map(|team| at(level, team)).sum();
        if used > slots {
            high = level;
        } else {
            low = level;
        }
    }
    teams.iter().map(|team| at(low, team)).collect()
}
