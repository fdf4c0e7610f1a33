//! Fleet states and a simulated fleet for the scheduler's tests.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod fuzz_step;
pub mod simulation;
pub mod world;
pub mod world_log;
pub mod world_recovery;

use std::time::Duration;

use sesamedeal_core::fleet::{
    DayTime, FleetChange, FleetState, InstanceRecord, InstanceState, KeyRecord, PoolRecord,
    SessionView, TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, KeyId, PoolName, RackName, RequestId, SessionId, TeamName,
    ZoneName,
};
use sesamedeal_core::scheduler::{
    DispatchOrder, JobScheduler, JobSpec, SchedulerAction, SchedulerPolicy,
};
use sesamedeal_core::time::TimePoint;

/// Returns a worker with 8 slots of 4 cores and 8 GB each.
pub fn worker(pool: &str) -> InstanceRecord {
    InstanceRecord {
        pool: PoolName::new(pool),
        state: InstanceState::Active,
        address: "10.0.0.1:80".into(),
        zone: ZoneName::new("zone-1"),
        rack: RackName::new("rack-1"),
        image: ImageName::new("image-1"),
        cores: 32,
        memory_mb: 64_000,
        slots: 8,
        boot: 1,
        since: Generation::ZERO,
        maintained: 0,
    }
}

/// Returns the request to evacuate a zone at a second of a day.
pub fn evacuate(zone: &str, second: u32) -> FleetChange {
    FleetChange::EvacuateZone {
        zone: ZoneName::new(zone),
        requested: DayTime::new(1_000, second),
    }
}

/// Returns the withdrawal of the request to evacuate a zone.
pub fn reopen(zone: &str) -> FleetChange {
    FleetChange::ReopenZone {
        zone: ZoneName::new(zone),
    }
}

/// Returns a state of generation 1 with one pool `main`, the teams with share and limit, and the
/// sessions 1 to `sessions`.
pub fn fleet(workers: usize, teams: &[(&str, u32, u32)], sessions: u64) -> FleetState {
    let view = SessionView::new((1..=sessions).map(SessionId).collect());
    let mut state = FleetState::with_view(Generation(1), view);
    let pool = PoolRecord {
        size: u32::try_from(workers).unwrap(),
        max_unavailable: 2,
        spare: false,
    };
    state.pools.insert(PoolName::new("main"), pool);
    for number in 0..workers {
        let name = InstanceName::new(format!("worker-{number}"));
        state.instances.insert(name, worker("main"));
    }
    for (name, share, limit) in teams {
        let team = TeamName::new(name);
        let record = TeamRecord {
            share: *share,
            limit: *limit,
        };
        state.teams.insert(team.clone(), record);
        let key = KeyRecord {
            team,
            hash: [0; 32],
            withdrawn: false,
        };
        state.keys.insert(KeyId::new(format!("key-{name}")), key);
    }
    state
}

/// Returns an idempotent job of one slot with 30 s until its deadline.
pub fn job(team: &str, now: TimePoint) -> JobSpec {
    JobSpec {
        request: RequestId::new("request"),
        team: TeamName::new(team),
        key: Some(KeyId::new(format!("key-{team}"))),
        pool: PoolName::new("main"),
        cores: 1,
        memory_mb: 100,
        run: Duration::from_millis(100),
        urgent: false,
        idempotent: true,
        deadline: now.after(Duration::from_secs(30)),
    }
}

/// Returns a scheduler of session 1 to which `state` is applied as settled.
pub fn scheduler(state: &FleetState) -> JobScheduler {
    scheduler_of(state, 1)
}

/// Returns a scheduler of a session to which `state` is applied as settled.
pub fn scheduler_of(state: &FleetState, session: u64) -> JobScheduler {
    let mut scheduler = JobScheduler::new(SessionId(session), SchedulerPolicy::new(), 7);
    scheduler.apply(state, state.generation, TimePoint::ORIGIN);
    scheduler
}

/// Time point in milliseconds.
pub fn at(millis: u64) -> TimePoint {
    TimePoint::with_millis(millis)
}

/// Returns all actions that are due.
pub fn drain(scheduler: &mut JobScheduler, now: TimePoint) -> Vec<SchedulerAction> {
    std::iter::from_fn(|| scheduler.next_action(now)).collect()
}

/// Returns all dispatches that are due and drops other actions.
pub fn dispatches(scheduler: &mut JobScheduler, now: TimePoint) -> Vec<DispatchOrder> {
    drain(scheduler, now)
        .into_iter()
        .filter_map(|action| match action {
            SchedulerAction::Dispatch(order) => Some(order),
            _ => None,
        })
        .collect()
}
