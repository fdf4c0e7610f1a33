//! Embeds the decision library without the daemon: one scheduler places a job on a fleet that a
//! change record describes. Time is an argument, so the example needs no clock.

use std::time::Duration;

use sesamedeal_core::fleet::{
    ApplyError, ChangeRecord, FleetChange, FleetState, InstanceRecord, InstanceState, OPEN_TEAM,
    PoolRecord, SessionView, TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, OperationId, PoolName, RackName, RequestId, SessionId,
    TeamName, ZoneName,
};
use sesamedeal_core::scheduler::{
    AttemptOutcome, JobScheduler, JobSpec, SchedulerAction, SchedulerPolicy,
};
use sesamedeal_core::time::TimePoint;

fn main() -> Result<(), ApplyError> {
    let session = SessionId(1);
    let state = fleet(session)?;
    let now = TimePoint::ORIGIN;
    let mut scheduler = JobScheduler::new(session, SchedulerPolicy::new(), 1);
    scheduler.apply(&state, state.generation, now);

    let spec = JobSpec {
        request: RequestId::new("rota-7"),
        team: TeamName::new(OPEN_TEAM),
        key: None,
        pool: PoolName::new("rotas"),
        cores: 1,
        memory_mb: 512,
        run: Duration::from_millis(100),
        urgent: false,
        idempotent: true,
        deadline: now.after(Duration::from_secs(30)),
    };
    match scheduler.submit(spec, now) {
        Ok(_) => println!("queued"),
        Err(refusal) => println!("refused with {}", refusal.code),
    }
    while let Some(action) = scheduler.next_action(now) {
        if let SchedulerAction::Dispatch(order) = action {
            println!("send the job to {} at {}", order.worker, order.address);
            let later = now.after(Duration::from_millis(100));
            let outcome = scheduler.finish(order.attempt, AttemptOutcome::Answered, later);
            println!("the attempt ended with {outcome:?}");
        }
    }
    Ok(())
}

/// One pool with one worker, and one session that owns all its slots.
fn fleet(session: SessionId) -> Result<FleetState, ApplyError> {
    let pool = PoolName::new("rotas");
    let changes = vec![
        FleetChange::PutPool {
            name: pool.clone(),
            pool: PoolRecord {
                size: 1,
                max_unavailable: 1,
                spare: false,
            },
        },
        FleetChange::PutTeam {
            name: TeamName::new(OPEN_TEAM),
            team: TeamRecord { share: 1, limit: 8 },
        },
        FleetChange::PutInstance {
            name: InstanceName::new("worker-1"),
            instance: InstanceRecord {
                pool,
                state: InstanceState::Active,
                address: "10.0.0.7:7100".into(),
                zone: ZoneName::new("pos-a"),
                rack: RackName::new("pos-a-1"),
                image: ImageName::new("base"),
                cores: 64,
                memory_mb: 128 * 1024,
                slots: 8,
                boot: 1,
                since: Generation::ZERO,
                maintained: 0,
            },
        },
        FleetChange::SetView {
            view: SessionView::new(vec![session]),
        },
    ];
    let mut state = FleetState::default();
    state.apply(&ChangeRecord {
        generation: Generation(1),
        operation: OperationId(1),
        author: "example".into(),
        changes,
    })?;
    Ok(state)
}
