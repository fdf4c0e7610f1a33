//! Allocation and use of units, lowered limits and the quiesced generation.

mod scheduling;

use scheduling::{at, dispatches, fleet, job, scheduler};
use sesamedeal_core::fleet::{FleetState, InstanceState};
use sesamedeal_core::ids::{Generation, InstanceName, SessionId, TeamName};
use sesamedeal_core::ledger::{UnitSeed, block_owner, permit_allocation};
use sesamedeal_core::scheduler::{AttemptOutcome, JobScheduler, JobSpec, SchedulerPolicy};

fn set_limit(state: &mut FleetState, team: &str, limit: u32) {
    state.generation = state.generation.next();
    state.teams.get_mut(&TeamName::new(team)).unwrap().limit = limit;
}

fn submit(scheduler: &mut JobScheduler, count: usize, now: u64) -> usize {
    for _ in 0..count {
        scheduler.submit(job("one", at(now)), at(now)).unwrap();
    }
    dispatches(scheduler, at(now)).len()
}

/// Guards against allocations that do not add up to the limit or shrink when it grows.
#[test]
fn permit_sums() {
    let sessions: Vec<SessionId> = (1..=7).map(SessionId).collect();
    let seed = UnitSeed::new("team", 0);
    let mut before = vec![0; 7];
    for limit in 0..100 {
        let permits = |session: &SessionId| permit_allocation(limit, seed, *session, &sessions);
        let now: Vec<u32> = sessions.iter().map(permits).collect();
        assert_eq!(now.iter().sum::<u32>(), limit);
        assert!(now.iter().zip(&before).all(|(now, before)| now >= before));
        before = now;
    }
}

/// Guards against a change of the view that moves blocks between the remaining sessions, and
/// against an uneven distribution of the blocks.
#[test]
fn block_moves() {
    let sessions: Vec<SessionId> = (1..=8).map(SessionId).collect();
    let mut owned = [0; 8];
    for worker in 0..2_000 {
        let seed = UnitSeed::new(&format!("worker-{worker}"), 0);
        let all = block_owner(seed, &sessions).unwrap();
        let fewer = block_owner(seed, &sessions[..7]).unwrap();
        assert!(all == SessionId(8) || all == fewer);
        owned[usize::try_from(all.0).unwrap() - 1] += 1;
    }
    assert!(
        owned.iter().all(|count| (200..300).contains(count)),
        "{owned:?}"
    );
}

/// Guards against units that become free before the end of the task is confirmed or its lease has
/// expired.
#[test]
fn lease_holds() {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 2)], 1));
    for _ in 0..3 {
        scheduler.submit(job("one", at(0)), at(0)).unwrap();
    }
    let orders = dispatches(&mut scheduler, at(0));
    assert_eq!(orders.len(), 2);
    scheduler.finish(orders[0].attempt, AttemptOutcome::Lost, at(1_000));
    scheduler.cancel(orders[1].job, at(1_000));
    assert_eq!(dispatches(&mut scheduler, at(10_499)).len(), 0);
    assert_eq!(scheduler.running(), 2);
    assert_eq!(dispatches(&mut scheduler, at(10_500)).len(), 1);
}

/// Guards against units that stay in use until the lease expires although the end of the task is
/// confirmed, and against a repeated confirmation that frees units twice.
#[test]
fn confirmed_end() {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 1)], 1));
    scheduler.submit(job("one", at(0)), at(0)).unwrap();
    scheduler.submit(job("one", at(0)), at(0)).unwrap();
    let orders = dispatches(&mut scheduler, at(0));
    scheduler.finish(orders[0].attempt, AttemptOutcome::BadAnswer, at(100));
    assert_eq!(dispatches(&mut scheduler, at(100)).len(), 0);
    scheduler.confirm_end(orders[0].attempt, at(200));
    assert_eq!(dispatches(&mut scheduler, at(200)).len(), 1);
    scheduler.confirm_end(orders[0].attempt, at(300));
    assert_eq!(scheduler.running(), 1);
}

/// Guards against starts before a lowered limit is settled, and against the use of additional
/// permits before a raised limit is settled.
#[test]
fn settled_limits() {
    let mut state = fleet(2, &[("one", 1, 4)], 1);
    let mut scheduler = scheduler(&state);
    assert_eq!(submit(&mut scheduler, 2, 0), 2);
    set_limit(&mut state, "one", 3);
    scheduler.apply(&state, Generation(1), at(1));
    assert_eq!(scheduler.quiesced(), Generation(2));
    assert_eq!(submit(&mut scheduler, 1, 1), 0);
    scheduler.apply(&state, Generation(2), at(2));
    assert_eq!(submit(&mut scheduler, 0, 2), 1);
    set_limit(&mut state, "one", 16);
    scheduler.apply(&state, Generation(2), at(3));
    assert_eq!(submit(&mut scheduler, 5, 3), 0);
    scheduler.apply(&state, Generation(3), at(4));
    assert_eq!(submit(&mut scheduler, 0, 4), 5);
    set_limit(&mut state, "one", 4);
    scheduler.apply(&state, Generation(3), at(5));
    assert_eq!(scheduler.quiesced(), Generation(3));
}

/// Guards against starts on units of a generation that is not known to be settled, or after peers
/// have settled a newer generation.
#[test]
fn unknown_generations() {
    let state = fleet(1, &[("one", 1, 4)], 1);
    let mut scheduler = JobScheduler::new(SessionId(1), SchedulerPolicy::new(), 7);
    scheduler.apply(&state, Generation(0), at(0));
    assert_eq!(submit(&mut scheduler, 1, 0), 0);
    scheduler.apply(&state, Generation(1), at(1));
    assert_eq!(submit(&mut scheduler, 0, 1), 1);
    scheduler.apply(&state, Generation(2), at(2));
    assert_eq!(submit(&mut scheduler, 1, 2), 0);
}

/// Guards against a worker that runs more tasks than its slots allow when jobs need several slots.
#[test]
fn large_jobs() {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 100)], 1));
    for (cores, memory_mb) in [(1, 33_000), (9, 100), (1, 100)] {
        let spec = JobSpec {
            cores,
            memory_mb,
            ..job("one", at(0))
        };
        scheduler.submit(spec, at(0)).unwrap();
    }
    // The first job takes 5 slots by its memory, the second 3 by its cores.
    assert_eq!(dispatches(&mut scheduler, at(0)).len(), 2);
}

/// Guards against starvation of large jobs when small jobs take each slot that becomes free.
#[test]
fn reserved_worker() {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 100), ("two", 1, 100)], 1));
    let mut running = Vec::new();
    for _ in 0..8 {
        scheduler.submit(job("two", at(0)), at(0)).unwrap();
    }
    running.extend(dispatches(&mut scheduler, at(0)));
    let large = JobSpec {
        cores: 16,
        ..job("one", at(0))
    };
    let large = scheduler.submit(large, at(0)).unwrap();
    for round in 1..=12 {
        let now = round * 100;
        scheduler.submit(job("two", at(now)), at(now)).unwrap();
        if !running.is_empty() {
            let order = running.remove(0);
            scheduler.finish(order.attempt, AttemptOutcome::Answered, at(now));
        }
        running.extend(dispatches(&mut scheduler, at(now)));
        if running.iter().any(|order| order.job == large) {
            return;
        }
    }
    panic!("the large job did not start");
}

/// Guards against a generation that is reported as quiesced while a task still runs on a worker
/// that the generation drains.
#[test]
fn drained_worker() {
    let mut state = fleet(1, &[("one", 1, 100)], 1);
    let mut scheduler = scheduler(&state);
    scheduler.submit(job("one", at(0)), at(0)).unwrap();
    let orders = dispatches(&mut scheduler, at(0));
    state.generation = state.generation.next();
    let name = InstanceName::new("worker-0");
    state.instances.get_mut(&name).unwrap().state = InstanceState::Draining;
    scheduler.apply(&state, Generation(1), at(1));
    assert_eq!(submit(&mut scheduler, 1, 1), 0);
    assert_eq!(scheduler.quiesced(), Generation(1));
    scheduler.finish(orders[0].attempt, AttemptOutcome::Answered, at(2));
    assert_eq!(scheduler.quiesced(), Generation(2));
}
