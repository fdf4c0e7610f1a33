use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use sesamedeal_core::time::TimePoint;

use super::caller_group::LoadLevel;
use super::entry_fleet::EntryFleet;
use super::first_come::FirstCome;
use super::measure_scope::MeasureScope;
use super::round::round;
use super::share_fleet::ShareFleet;
use super::share_simulation::{PlacingMode, ShareSimulation};
use super::usage_record::{BUCKET, UsageRecord, WINDOW};

/// Callers per team, for each slot that is due to the team with the largest share.
const CALLERS_PER_SLOT: f64 = 3.0;

/// Deviation that counts as near to the share.
const TOLERANCE: f64 = 0.05;

/// Time before the first window, and after a surge before the windows of `after_surge`.
const SETTLING: Duration = Duration::from_secs(3);

/// The largest deviation of a team from its share.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareDeviation {
    /// Deviation as a part of the share; negative when the team got too little.
    pub part: f64,
    /// The team.
    pub team: String,
    /// The pool.
    pub pool: String,
    /// Start of the window of 10 s, in seconds from the start of the run.
    pub window_start: f64,
}

/// Nearness to share of one way to place jobs.
///
/// A deviation is the largest of all teams, pools and windows of 10 s in which all teams were
/// backlogged, as a part of the team's share. `None` when there was no such window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareFigures {
    /// Largest deviation before the first surge.
    pub steady: Option<ShareDeviation>,
    /// Largest deviation in windows that start 3 s or more after a surge and the quiet time that
    /// follows it.
    pub after_surge: Option<ShareDeviation>,
    /// Longest time until every later window is within 5%, over the pools that got there.
    pub recovery_seconds: Option<f64>,
    /// Pools that were not within 5% before their next surge had ended.
    pub pools_not_recovered: usize,
    /// Windows that were measured after surges.
    pub windows: usize,
    /// Refusals by result code.
    pub refusals: BTreeMap<u16, u64>,
}

/// Runs the surge shape with the schedulers of the entry instances.
pub(super) fn measure_share(fleet: &ShareFleet, scope: &MeasureScope, seed: u64) -> ShareFigures {
    let entries = EntryFleet::new(&fleet.state, true, seed);
    run_surges(fleet, PlacingMode::Entries(entries), scope, seed)
}

/// Runs the surge shape first-come first-served.
pub(super) fn measure_first_come(
    fleet: &ShareFleet,
    scope: &MeasureScope,
    seed: u64,
) -> ShareFigures {
    let queues = FirstCome::new(fleet);
    run_surges(fleet, PlacingMode::FirstCome(queues), scope, seed)
}

fn run_surges(
    fleet: &ShareFleet,
    mode: PlacingMode,
    scope: &MeasureScope,
    seed: u64,
) -> ShareFigures {
    let mut simulation = ShareSimulation::new(fleet, mode, seed);
    let pools = fleet.pools.len();
    for pool in 0..pools {
        let weights = fleet.weights(pool);
        let largest = weights.iter().copied().fold(0.0, f64::max);
        let due = f64::from(fleet.pools[pool].slots) * largest / weights.iter().sum::<f64>();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let mean = (due * CALLERS_PER_SLOT).ceil() as u32;
        for (team, profile) in fleet.teams.iter().enumerate() {
            if profile.pools[pool] {
                // All callers of the first team are connected to one entry instance.
                simulation.add_callers(team, pool, mean, team == 0);
            }
        }
    }
    let mut now = TimePoint::ORIGIN.after(scope.steady);
    simulation.run_until(now);
    // Two cycles, so that each pool's next surge ends after its return to the mean.
    for turn in 0..2 * pools {
        for pool in 0..pools {
            simulation.set_level(pool, level(pool, turn, pools));
        }
        now = now.after(scope.turn);
        simulation.run_until(now);
    }
    figures(&simulation, fleet, scope)
}

/// In each turn one pool surges and the one that surged before is quiet.
const fn level(pool: usize, turn: usize, pools: usize) -> LoadLevel {
    if turn % pools == pool {
        LoadLevel::Surge
    } else if turn > 0 && (turn - 1) % pools == pool {
        LoadLevel::Quiet
    } else {
        LoadLevel::Mean
    }
}

fn figures(simulation: &ShareSimulation, fleet: &ShareFleet, scope: &MeasureScope) -> ShareFigures {
    let bucket = |after: Duration| UsageRecord::bucket_at(TimePoint::ORIGIN.after(after));
    let settling = bucket(SETTLING);
    let mut result = ShareFigures {
        steady: None,
        after_surge: None,
        recovery_seconds: None,
        pools_not_recovered: 0,
        windows: 0,
        refusals: simulation.refusals.clone(),
    };
    for (pool, usage) in simulation.usage.iter().enumerate() {
        let deviation = |first: usize| {
            let (part, team) = usage.deviation(first)?;
            Some(ShareDeviation {
                part: round(part),
                team: fleet.teams[team].name.as_str().to_owned(),
                pool: fleet.pools[pool].name.as_str().to_owned(),
                window_start: first as f64 * BUCKET.as_secs_f64(),
            })
        };
        let steady_end = bucket(scope.steady).saturating_sub(WINDOW);
        let steady = (settling..=steady_end).filter_map(deviation);
        result.steady = largest(result.steady, steady);
        let turns = |count: usize| scope.turn * u32::try_from(count).unwrap_or(u32::MAX);
        let back = bucket(scope.steady + turns(pool + 2));
        let surge_end = bucket(scope.steady + turns(pool + fleet.pools.len() + 1));
        let windows: Vec<(usize, ShareDeviation)> = (back..=surge_end.saturating_sub(WINDOW))
            .filter_map(|first| Some((first - back, deviation(first)?)))
            .collect();
        result.windows += windows.len();
        let late = windows
            .iter()
            .rposition(|(_, off)| off.part.abs() > TOLERANCE);
        match windows.get(late.map_or(0, |late| late + 1)) {
            Some((offset, _)) => {
                let seconds = *offset as f64 * BUCKET.as_secs_f64();
                let longest = result.recovery_seconds.unwrap_or(0.0);
                result.recovery_seconds = Some(longest.max(seconds));
            }
            None => result.pools_not_recovered += 1,
        }
        let settled = windows
            .into_iter()
            .filter(|(offset, _)| *offset >= settling);
        result.after_surge = largest(result.after_surge, settled.map(|(_, off)| off));
    }
    result
}

fn largest(
    known: Option<ShareDeviation>,
    others: impl Iterator<Item = ShareDeviation>,
) -> Option<ShareDeviation> {
    let all = known.into_iter().chain(others);
    all.max_by(|one, other| one.part.abs().total_cmp(&other.part.abs()))
}
