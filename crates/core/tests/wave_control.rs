//! Maintenance waves of the controller.

mod support;

use std::time::Duration;

use sesamedeal_core::control::{ControlNote, ControlPolicy, ControlStep};
use sesamedeal_core::fleet::{FleetChange, MemberStep, WaveStatus};
use sesamedeal_core::ids::{InstanceName, PoolName, WaveName};
use sesamedeal_core::waves::{CYCLE_DAYS, is_due, rollout_bound};
use support::world::World;
use support::{fleet, name};

fn start(world: &mut World, members: impl IntoIterator<Item = u32>) -> WaveName {
    let wave = WaveName::new("w");
    let started = world.day_time();
    world.write(vec![FleetChange::StartWave {
        wave: wave.clone(),
        started,
        members: members.into_iter().map(name).collect(),
    }]);
    wave
}

fn is_finished(world: &World, wave: &WaveName) -> bool {
    world.state.waves[wave].status == WaveStatus::Finished
}

/// Appends one line per change and reboot to the log.
fn describe(second: u64, step: &ControlStep, log: &mut String) {
    for change in &step.changes {
        let line = match change {
            FleetChange::SetInstanceState { name, state } => format!("{name} {}", state.label()),
            FleetChange::SetWaveMember { name, step, .. } => format!("{name} step {step:?}"),
            FleetChange::HaltWave { reason, .. } => format!("halt: {reason}"),
            FleetChange::ResumeWave { .. } => "resume".to_owned(),
            FleetChange::FinishWave { .. } => "finish".to_owned(),
            FleetChange::MarkMaintained { name, .. } => format!("{name} maintained"),
            _ => continue,
        };
        log.push_str(&format!("{second:>5} {line}\n"));
    }
    for order in &step.reboots {
        log.push_str(&format!("{second:>5} reboot {}\n", order.instance));
    }
}

/// Guards against a wave that exceeds the availability budget or leaves part of it unused. The
/// bound uses the time for which one instance is out of service in this simulation.
#[test]
fn rollout_time() {
    let mut state = fleet(&[("a", 30, 3, 30), ("b", 12, 2, 12), ("spare", 8, 4, 8)]);
    state.generation = state.generation.next();
    let mut world = World::new(state, ControlPolicy::new(), 3);
    world.run(5);
    world.reboot_millis = 180_000;
    let members: Vec<InstanceName> = (0..50).map(name).collect();
    let wave = start(&mut world, 0..50);
    let pools = ["a", "b", "spare"].map(PoolName::new);
    let taken = world.run_until(4_000, |world| {
        for pool in &pools {
            let budget = world.state.pools[pool].max_unavailable as usize;
            assert!(world.state.unavailable(pool) <= budget);
        }
        is_finished(world, &wave)
    });
    assert_eq!(world.reboots, 50);
    let bound = rollout_bound(&world.state, &members, Duration::from_secs(180)).unwrap();
    let ratio = Duration::from_millis(taken).as_secs_f64() / bound.as_secs_f64();
    println!("roll-out {taken} ms, bound {bound:?}, ratio {ratio:.3}");
    assert!((1.0..=1.2).contains(&ratio), "ratio {ratio}");
}

/// Guards against a wave that continues after correlated failures, cancels a reboot, or resumes
/// too early. All changes are compared with a golden file.
#[test]
fn correlated_failure() {
    let state = fleet(&[("a", 8, 2, 8), ("spare", 2, 2, 2)]);
    let mut world = World::new(state, ControlPolicy::new(), 2);
    world.run(5);
    world.broken = vec![name(0), name(1)];
    let wave = start(&mut world, 0..8);
    let mut log = String::new();
    let mut repaired = false;
    for _ in 0..2_400 {
        let step = world.step();
        describe(world.millis / 1_000, &step, &mut log);
        let status = &world.state.waves[&wave].status;
        if matches!(status, WaveStatus::Halted { .. }) && !repaired && world.millis > 900_000 {
            world.repair(&name(0));
            world.repair(&name(1));
            repaired = true;
            log.push_str(&format!("{:>5} repaired\n", world.millis / 1_000));
        }
        world.pass(1_000);
    }
    assert!(repaired && is_finished(&world, &wave));
    insta::assert_snapshot!(log);
}

/// Guards against a halt on uncorrelated failures, and a wave that finishes with a member out of
/// service.
#[test]
fn single_failure() {
    let state = fleet(&[("a", 8, 2, 8), ("spare", 2, 2, 2)]);
    let mut world = World::new(state, ControlPolicy::new(), 2);
    world.run(5);
    world.broken = vec![name(0)];
    let wave = start(&mut world, 0..8);
    let mut notes = Vec::new();
    for _ in 0..900 {
        notes.extend(world.step().notes);
        world.pass(1_000);
    }
    assert!(notes.contains(&ControlNote::RebootOverdue(name(0))));
    let record = &world.state.waves[&wave];
    assert_eq!(record.status, WaveStatus::Running);
    assert_eq!(record.count(MemberStep::Done), 7);
    assert_eq!(record.members[&name(0)], MemberStep::Failed);
    world.run_until(600, |world| is_finished(world, &wave));
    assert_eq!(
        world.state.waves[&wave].members[&name(0)],
        MemberStep::Skipped
    );
    assert!(
        !world.state.instances.contains_key(&name(0)),
        "removed when absent for long"
    );
}

/// Guards against a wave that resumes because its failed instances were removed from the state:
/// failed members were removed 10 minutes after the reboot began and counted as recovered, and the
/// wave continued with the same image.
#[test]
fn removed_members_block() {
    let state = fleet(&[("a", 8, 2, 8), ("spare", 2, 2, 2)]);
    let mut world = World::new(state, ControlPolicy::new(), 2);
    world.run(5);
    world.broken = vec![name(0), name(1)];
    let wave = start(&mut world, 0..8);
    world.run(4_000);
    let status = &world.state.waves[&wave].status;
    assert!(matches!(status, WaveStatus::Halted { .. }), "{status:?}");
}

/// Guards against a halted wave that an operator cannot resume.
#[test]
fn operator_resumes() {
    let state = fleet(&[("a", 8, 2, 8), ("spare", 2, 2, 2)]);
    let mut world = World::new(state, ControlPolicy::new(), 2);
    world.run(5);
    world.broken = vec![name(0), name(1)];
    let wave = start(&mut world, 0..4);
    world.run_until(1_000, |world| {
        matches!(world.state.waves[&wave].status, WaveStatus::Halted { .. })
    });
    world.repair(&name(0));
    world.write(vec![FleetChange::ResumeWave { wave: wave.clone() }]);
    world.run_until(900, |world| is_finished(world, &wave));
    let members = &world.state.waves[&wave].members;
    assert_eq!(members[&name(1)], MemberStep::Skipped);
    assert_eq!(members[&name(3)], MemberStep::Done);
}

/// Guards against a second reboot by a controller that takes over during a reboot that the list
/// does not show yet.
#[test]
fn takeover_reboots_once() {
    let state = fleet(&[("a", 4, 1, 4), ("spare", 1, 1, 1)]);
    let mut world = World::new(state, ControlPolicy::new(), 2);
    world.run(5);
    let wave = start(&mut world, 0..1);
    world.run_until(60, |world| world.reboots == 1);
    // The list lags and still shows the old boot identifier.
    let (mut entry, back) = world.away.remove(&name(0)).unwrap();
    entry.boot -= 1;
    world.list.push(entry.clone());
    world.controller = sesamedeal_core::control::Controller::new(ControlPolicy::new());
    for _ in 0..8 {
        let step = world.step();
        assert!(step.reboots.is_empty());
        world.pass(1_000);
    }
    world.list.retain(|listed| listed.name != name(0));
    entry.boot += 1;
    world.away.insert(name(0), (entry, back));
    world.run_until(120, |world| is_finished(world, &wave));
    assert_eq!(world.reboots, 1);
}

/// Guards against an instance that is maintained twice or not at all within one cycle.
#[test]
fn standing_schedule() {
    for number in 0..200 {
        let name = name(number);
        let mut maintained = 5_000;
        let mut days = Vec::new();
        for day in 5_001..5_001 + 3 * CYCLE_DAYS {
            if is_due(&name, maintained, day) {
                maintained = day;
                days.push(day);
            }
        }
        assert_eq!(days.len(), 3);
        assert!(days.windows(2).all(|pair| pair[1] - pair[0] == CYCLE_DAYS));
        assert!(
            is_due(&name, days[0], days[0] + CYCLE_DAYS + 3),
            "missed work stays due"
        );
    }
    let due = (0..2_800)
        .filter(|&number| is_due(&name(number), 0, 5_000))
        .count();
    assert_eq!(due, 2_800, "never maintained instances are due");
    let daily = (0..2_800)
        .filter(|&number| is_due(&name(number), 4_999, 5_000))
        .count();
    assert!((70..=130).contains(&daily), "{daily} of 2800 on one day");
}
