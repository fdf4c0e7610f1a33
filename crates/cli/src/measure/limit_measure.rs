use std::time::Duration;

use serde::Serialize;
use sesamedeal_core::time::TimePoint;

use super::entry_fleet::EntryFleet;
use super::round::round;
use super::share_fleet::ShareFleet;
use super::share_simulation::{PlacingMode, ShareSimulation};
use super::usage_record::UsageRecord;

/// Callers beyond the limit.
const EXTRA_CALLERS: u32 = 16;

/// Time before the measurement.
const WARM_UP: Duration = Duration::from_secs(5);

/// Time that is measured.
const MEASURED: Duration = Duration::from_secs(10);

/// What a team with all callers at one entry instance reaches of its limit while all other teams
/// are idle.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitFigures {
    /// The team.
    pub team: String,
    /// Its limit.
    pub limit: u32,
    /// Tasks running on average, with loans between the entry instances.
    pub running_with_loans: f64,
    /// Tasks running on average when each entry instance has its own units only.
    pub running_static: f64,
    /// Part of the throughput that the limit allows and that is lost, with loans.
    pub lost_with_loans: f64,
    /// Part that is lost with the static split.
    pub lost_static: f64,
}

/// Measures the team with the largest limit.
pub(super) fn measure_limit(fleet: &ShareFleet, seed: u64) -> Option<LimitFigures> {
    let teams = fleet.teams.iter().enumerate();
    let (team, profile) = teams.max_by_key(|(_, team)| team.limit)?;
    let used = |pool: usize| profile.pools[pool];
    let total: u32 = (0..fleet.pools.len())
        .filter(|pool| used(*pool))
        .map(|pool| fleet.pools[pool].slots)
        .sum();
    let run = |is_exchanging| {
        let entries = EntryFleet::new(&fleet.state, is_exchanging, seed);
        let mut simulation = ShareSimulation::new(fleet, PlacingMode::Entries(entries), seed);
        for pool in (0..fleet.pools.len()).filter(|pool| used(*pool)) {
            let callers = (profile.limit + EXTRA_CALLERS) * fleet.pools[pool].slots / total;
            simulation.add_callers(team, pool, callers, true);
        }
        simulation.run_until(TimePoint::ORIGIN.after(WARM_UP + MEASURED));
        let first = UsageRecord::bucket_at(TimePoint::ORIGIN.after(WARM_UP));
        let held = simulation.usage.iter().map(|usage| usage.mean_held(first));
        held.sum::<f64>()
    };
    let (loans, fixed) = (run(true), run(false));
    let reachable = f64::from(profile.limit.min(total));
    Some(LimitFigures {
        team: profile.name.as_str().to_owned(),
        limit: profile.limit,
        running_with_loans: round(loans),
        running_static: round(fixed),
        lost_with_loans: round(1.0 - loans / reachable),
        lost_static: round(1.0 - fixed / reachable),
    })
}
