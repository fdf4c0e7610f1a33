//! Evacuation of an availability zone on the product's own interface.

mod scheduling;
mod support;

use std::time::Duration;

use scheduling::{at, dispatches, evacuate, job, reopen, scheduler};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::control::ControlPolicy;
use sesamedeal_core::fleet::{
    DayTime, FleetChange, FleetState, InstanceState, MemberStep, SessionView,
};
use sesamedeal_core::ids::{PoolName, SessionId, WaveName, ZoneName};
use sesamedeal_core::scheduler::{AttemptOutcome, FinishOutcome, JobScheduler};
use support::world::{World, active};
use support::{apply, fleet, moving, name, pool, set_state};

/// Guards against an unknown zone that is accepted, a repetition that fails or changes the time of
/// the request, a request that cannot be withdrawn after the zone has lost its instances, and a
/// stored state that differs from that of earlier versions although there is no request.
#[test]
fn state_rules() {
    let mut state = fleet(&[("a", 5, 1, 5), ("spare", 0, 1, 0)]);
    let before = serde_json::to_value(&state).unwrap();
    assert!(before.get("evacuations").is_none());
    for change in [evacuate("z9", 0), reopen("z9")] {
        let error = apply(&mut state, vec![evacuate("z0", 0), change]).unwrap_err();
        assert_eq!(error.to_string(), "availability zone z9 does not exist");
    }
    assert!(state.evacuations.is_empty(), "not rolled back");
    let repeated = vec![reopen("z0"), evacuate("z1", 5), evacuate("z1", 9)];
    apply(&mut state, repeated).unwrap();
    let snapshot = serde_json::to_vec(&state).unwrap();
    let mut state: FleetState = serde_json::from_slice(&snapshot).unwrap();
    let requested = state.evacuations[&ZoneName::new("z1")].requested;
    assert_eq!(requested, DayTime::new(1_000, 5));
    apply(&mut state, vec![set_state(4, InstanceState::Failed)]).unwrap();
    let removed = FleetChange::RemoveInstance { name: name(4) };
    apply(&mut state, vec![removed, reopen("z1")]).unwrap();
    assert!(state.evacuations.is_empty());
    let old: FleetState = serde_json::from_value(before).unwrap();
    assert!(old.evacuations.is_empty());
}

/// State with a worker in each of the zones `zone-0` and `zone-1`; the second one is twice as large.
fn two_zones() -> FleetState {
    let mut state = scheduling::fleet(2, &[("one", 1, 100)], 2);
    for (number, instance) in (0..).zip(state.instances.values_mut()) {
        instance.zone = ZoneName::new(format!("zone-{number}"));
        instance.cores *= number + 1;
        instance.slots *= number + 1;
    }
    state
}

/// Guards against starts in an evacuated zone, a generation that does not settle because of attempts
/// there, a refusal of jobs and retries that fit only there, and workers that stay unused after the
/// withdrawal. The last request of a quick series counts.
#[test]
fn nothing_starts() {
    let mut state = two_zones();
    state.view.sessions.truncate(1);
    let mut scheduler = scheduler(&state);
    let mut update = |scheduler: &mut JobScheduler, change| {
        apply(&mut state, vec![change]).unwrap();
        scheduler.apply(&state, state.generation, at(1));
        assert_eq!(scheduler.quiesced(), state.generation);
    };
    let submit = |scheduler: &mut JobScheduler, cores| {
        let mut spec = job("one", at(1));
        spec.cores = cores;
        scheduler.submit(spec, at(1)).unwrap();
        dispatches(scheduler, at(1))
    };
    let running = submit(&mut scheduler, 64).remove(0);
    update(&mut scheduler, evacuate("zone-1", 0));
    update(&mut scheduler, reopen("zone-1"));
    update(&mut scheduler, evacuate("zone-1", 1));
    let outcome = scheduler.finish(running.attempt, AttemptOutcome::NotSent, at(1));
    assert_eq!(outcome, FinishOutcome::Retry, "waits like a new job");
    assert!(submit(&mut scheduler, 64).is_empty());
    update(&mut scheduler, reopen("zone-1"));
    let started = dispatches(&mut scheduler, at(1)).remove(0);
    assert_eq!(started.job, running.job);
    scheduler.finish(started.attempt, AttemptOutcome::Draining, at(1));
    assert!(dispatches(&mut scheduler, at(1)).is_empty(), "it leaves");
    update(&mut scheduler, evacuate("zone-1", 2));
    assert_eq!(submit(&mut scheduler, 4)[0].worker.as_str(), "worker-0");
    update(&mut scheduler, reopen("zone-1"));
    let started = dispatches(&mut scheduler, at(1));
    assert_eq!(started[0].worker.as_str(), "worker-1", "used at once");
}

/// Guards against jobs without bound that wait for an evacuated zone, and against a cancelled one that
/// still counts.
#[test]
fn full_queue() {
    let mut state = two_zones();
    apply(&mut state, vec![evacuate("zone-1", 0)]).unwrap();
    let mut scheduler = scheduler(&state);
    let mut large = job("one", at(0));
    large.cores = 64;
    let first = scheduler.submit(large.clone(), at(0)).unwrap();
    let more = (0..1_000).map_while(|_| scheduler.submit(large.clone(), at(0)).ok());
    assert_eq!(more.count(), 999);
    scheduler.cancel(first, at(0));
    assert!(scheduler.submit(large.clone(), at(0)).is_ok());
    let refusal = scheduler.submit(large, at(0)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::QueueFull);
}

/// Guards against starts by an entry instance that joins late, and against loans that let one start
/// a large job in the zone before it has the request. The world checks each dispatch.
#[test]
fn late_instances() {
    let mut world = scheduling::world::World::new(two_zones());
    world.change(evacuate("zone-1", 0));
    world.apply_next(0);
    let mut large = job("one", world.now);
    large.cores = 64;
    world.submit(1, large);
    for _ in 0..20 {
        world.advance(Duration::from_millis(200));
        world.exchange(1, 0, true, true);
        assert!(world.tasks.is_empty());
    }
    world.start();
    let view = SessionView::new([1, 2, 3].map(SessionId).to_vec());
    world.change(FleetChange::SetView { view });
    for node in [0, 1, 2].repeat(9) {
        world.submit(node, job("one", world.now));
    }
    world.run_without_faults(Duration::from_secs(12));
    assert!(world.tasks.iter().any(|task| task.node == 2));
    let mut tasks = world.tasks.iter();
    assert!(tasks.all(|task| task.worker.as_str() == "worker-0"));
}

/// Guards against instances of an evacuated zone that move out of the spare pool or count as
/// capacity, a move under way that is completed, and a wave that stops.
#[test]
fn moves_and_waves() {
    let mut state = fleet(&[("a", 4, 1, 4), ("spare", 8, 8, 8)]);
    let wave = WaveName::new("night");
    let bigger = FleetChange::PutPool {
        name: PoolName::new("a"),
        pool: pool(6, 1),
    };
    let start = FleetChange::StartWave {
        wave: wave.clone(),
        started: DayTime::new(1_000, 0),
        members: vec![name(0), name(1)],
    };
    let requests = [evacuate("z0", 0), evacuate("z1", 0)];
    apply(&mut state, vec![bigger, moving(4, "a"), start]).unwrap();
    apply(&mut state, requests.to_vec()).unwrap();
    let mut world = World::new(state, ControlPolicy::new(), 3);
    for _ in 0..120 {
        world.run(1);
        for number in 5..8 {
            let instance = &world.state.instances[&name(number)];
            assert!(instance.state.is_active(), "{number} moves out of z1");
        }
    }
    assert_eq!((active(&world, "a"), active(&world, "spare")), (8, 4));
    assert_eq!(world.state.waves[&wave].count(MemberStep::Done), 2);
    world.write(vec![reopen("z0"), reopen("z1")]);
    world.run(60);
    assert_eq!((active(&world, "a"), active(&world, "spare")), (6, 6));
}
