use std::collections::VecDeque;
use std::time::Duration;

use sesamedeal_core::control::{ControlInput, ControlPolicy, Controller, LogExtent};
use sesamedeal_core::fleet::{FleetChange, InstanceState, PoolRecord, SheetItem};
use sesamedeal_core::ids::{Generation, InstanceName, PoolName};
use sesamedeal_core::time::TimePoint;

use super::day_figures::DayFigures;
use super::day_world::DayWorld;
use super::user_profile::UserProfile;
use crate::error::Result;

/// Step of the controller while a generation is not settled; the default settings of the daemon.
const STEP: Duration = Duration::from_millis(250);

/// Time after which the controller decides again on a state that it has changed.
const STORE_TIME: Duration = Duration::from_millis(100);

/// Step while nothing is under way. Rows are due at multiples of it.
const IDLE_STEP: Duration = Duration::from_secs(10);

/// Length of the measured day.
const DAY: Duration = Duration::from_hours(24);

/// Runs a day with the controller.
pub(super) fn measure_day(profile: &UserProfile, seed: u64) -> Result<DayFigures> {
    let mut world = DayWorld::new(profile.fleet()?, seed);
    let mut policy = ControlPolicy::new();
    policy.plan = profile.policy;
    let mut controller = Controller::new(policy);
    let mut settled = Generation::ZERO;
    run_day(&mut world, |world| {
        let step = controller.step(ControlInput {
            now: world.now,
            day_time: world.day_time(),
            state: &world.state,
            settled,
            sessions: &world.sessions,
            is_scanned: true,
            list: Some(&world.list),
            health: &[],
            log: LogExtent::default(),
        });
        settled = step.settled;
        world.write(step.changes)?;
        for order in &step.reboots {
            world.reboot(order);
        }
        Ok(())
    })
}

/// Runs the same day with the rows applied one after the other: a pool above its new size returns
/// instances to the spare pool, one below takes them from there. Maintenance is left out.
pub(super) fn measure_row_by_row(profile: &UserProfile, seed: u64) -> Result<DayFigures> {
    let mut world = DayWorld::new(profile.fleet()?, seed);
    let mut pending = VecDeque::new();
    run_day(&mut world, |world| apply_rows(world, &mut pending))
}

fn run_day(
    world: &mut DayWorld,
    mut step: impl FnMut(&mut DayWorld) -> Result<()>,
) -> Result<DayFigures> {
    let end = TimePoint::ORIGIN.after(DAY);
    while world.now < end {
        let generation = world.state.generation;
        step(world)?;
        world.check_rows();
        let time = if generation != world.state.generation {
            STORE_TIME
        } else if world.record.is_busy(world.now) {
            STEP
        } else {
            until_idle_step(world.now)
        };
        world.pass(time);
    }
    Ok(world.record.figures())
}

fn until_idle_step(now: TimePoint) -> Duration {
    let period = IDLE_STEP.as_millis();
    let since = now.since_origin().as_millis() % period;
    let left = u64::try_from(period - since);
    left.map_or(IDLE_STEP, Duration::from_millis)
}

fn apply_rows(world: &mut DayWorld, pending: &mut VecDeque<(PoolName, PoolRecord)>) -> Result<()> {
    let now = world.day_time();
    let due = world
        .state
        .sheet
        .iter()
        .flat_map(|sheet| sheet.items_due(now));
    let mut changes = Vec::new();
    for item in due {
        if let SheetItem::Pool { name, pool } = item.clone() {
            changes.push(FleetChange::PutPool {
                name: name.clone(),
                pool: pool.clone(),
            });
            pending.push_back((name, pool));
        }
    }
    changes.push(FleetChange::AdvanceSheet { to: now });
    if changes.len() > 1 {
        world.write(changes)?;
    }
    finish_moves(world)?;
    start_moves(world, pending)
}

fn finish_moves(world: &mut DayWorld) -> Result<()> {
    let quiesced = world.sessions.iter().map(|session| session.quiesced).min();
    let settled = quiesced.unwrap_or(Generation::ZERO);
    let ended = world
        .state
        .instances
        .iter()
        .filter_map(|(name, instance)| match &instance.state {
            InstanceState::Moving { target } if instance.since <= settled => {
                Some(FleetChange::AssignInstance {
                    name: name.clone(),
                    pool: target.clone(),
                })
            }
            _ => None,
        })
        .collect();
    world.write(ended)
}

/// Starts the moves of the first row that is not in effect, as far as the budget allows.
fn start_moves(world: &mut DayWorld, pending: &mut VecDeque<(PoolName, PoolRecord)>) -> Result<()> {
    let Some(spare) = world.state.spare_pool().cloned() else {
        return Ok(());
    };
    while let Some((pool, record)) = pending.front().cloned() {
        let (active, coming, leaving) = count(world, &pool);
        if active + coming == record.size && coming + leaving == 0 {
            pending.pop_front();
            continue;
        }
        let (from, to, wanted) = if active + coming > record.size {
            (&pool, &spare, active + coming - record.size)
        } else {
            (&spare, &pool, record.size - active - coming)
        };
        let budget = world.state.headroom(from).min(wanted);
        let names = active_instances(world, from, budget);
        if names.is_empty() && coming + leaving == 0 && pending.len() > 1 {
            // The spare pool is empty until another row returns instances to it.
            pending.rotate_left(1);
            return Ok(());
        }
        let moves = names.into_iter().map(|name| FleetChange::SetInstanceState {
            name,
            state: InstanceState::Moving { target: to.clone() },
        });
        return world.write(moves.collect());
    }
    Ok(())
}

/// Instances of a pool that are active, on their way to it and on their way from it.
fn count(world: &DayWorld, pool: &PoolName) -> (u32, u32, u32) {
    let mut counts = (0, 0, 0);
    for instance in world.state.instances.values() {
        match &instance.state {
            InstanceState::Moving { target } if target == pool => counts.1 += 1,
            InstanceState::Moving { .. } if instance.pool == *pool => counts.2 += 1,
            InstanceState::Active if instance.pool == *pool => counts.0 += 1,
            _ => {}
        }
    }
    counts
}

fn active_instances(world: &DayWorld, pool: &PoolName, most: u32) -> Vec<InstanceName> {
    let instances = world.state.instances.iter();
    instances
        .filter(|(_, instance)| instance.pool == *pool && instance.state.is_active())
        .map(|(name, _)| name.clone())
        .take(most as usize)
        .collect()
}
