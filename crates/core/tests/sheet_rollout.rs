//! Sheets from the check until their rows are in effect.

mod support;

use sesamedeal_core::control::{ControlPolicy, ControlStep};
use sesamedeal_core::fleet::{DayTime, FleetChange, FleetState, InstanceState, WaveStatus};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::moves::PlanPolicy;
use sesamedeal_core::sheet::{check_sheet, plan_sheet};
use support::world::{World, active};
use support::{fleet, pool};

fn describe(world: &World, step: &ControlStep, log: &mut String) {
    let time = world.day_time();
    let clock = format!(
        "{:02}:{:02}:{:02}",
        time.second / 3_600,
        time.second / 60 % 60,
        time.second % 60
    );
    for change in &step.changes {
        let line = match change {
            FleetChange::PutPool { name, pool } => format!("pool {name} size {}", pool.size),
            FleetChange::PutTeam { name, team } => format!("team {name} limit {}", team.limit),
            FleetChange::SetInstanceState { name, state } => match state {
                InstanceState::Moving { target } => format!("{name} moving to {target}"),
                other => format!("{name} {}", other.label()),
            },
            FleetChange::AssignInstance { name, pool } => format!("{name} active in {pool}"),
            FleetChange::StartWave { wave, members, .. } => {
                format!("wave {wave} of {}", members.len())
            }
            FleetChange::AdvanceSheet { .. } => "rows applied".to_owned(),
            _ => continue,
        };
        log.push_str(&format!("{clock} {line}\n"));
    }
}

/// Guards against rows that take effect late and moves that differ from the plan. Runs from the
/// check of the sheet at 06:25 until the pools have the sizes of 06:30.
#[test]
fn morning_sheet() {
    let text = include_str!("../../../examples/trust.csv");
    let sheet = check_sheet(text.as_bytes()).unwrap();
    let sizes = [
        ("attendance", 8, 2, 8),
        ("payroll", 8, 2, 8),
        ("rotas", 16, 3, 16),
        ("spare", 8, 4, 8),
        ("swaps", 10, 2, 10),
    ];
    let mut world = World::new(fleet(&sizes), ControlPolicy::new(), 3);
    world.run(5);
    world.start = DayTime::new(20_000, 6 * 3_600 + 25 * 60);
    let policy = PlanPolicy::with_short_rollout();
    let plan = plan_sheet(&world.state, &sheet, world.day_time(), &policy, true).unwrap();
    let mut log = String::new();
    for (title, entries) in [
        ("added", &plan.diff.added),
        ("changed", &plan.diff.changed),
        ("removed", &plan.diff.removed),
    ] {
        let names: Vec<String> = entries.iter().map(ToString::to_string).collect();
        log.push_str(&format!("{title}: {}\n", names.join(", ")));
    }
    log.push_str(&format!(
        "moves {} row by row {} roll-out {:?} waves {:?}\n",
        plan.day.moves.len(),
        plan.row_by_row_moves,
        plan.rollout(),
        plan.waves.len()
    ));
    world.write(plan.changes);
    for _ in 0..600 {
        let step = world.step();
        describe(&world, &step, &mut log);
        world.pass(1_000);
    }
    let counts: Vec<usize> = sizes.iter().map(|size| active(&world, size.0)).collect();
    assert_eq!(counts, [14, 8, 10, 8, 10]);
    insta::assert_snapshot!(log);
}

/// Guards against an operator's change that the controller reverts before the next row is due.
#[test]
fn manual_change_stays() {
    let text = include_str!("../../../examples/trust.csv");
    let sheet = check_sheet(text.as_bytes()).unwrap();
    let mut world = World::new(FleetState::default(), ControlPolicy::new(), 1);
    world.start = DayTime::new(20_000, 9 * 3_600);
    let policy = PlanPolicy::default();
    let plan = plan_sheet(&world.state, &sheet, world.day_time(), &policy, false).unwrap();
    world.write(plan.changes);
    let attendance = PoolName::new("attendance");
    world.write(vec![FleetChange::PutPool {
        name: attendance.clone(),
        pool: pool(12, 2),
    }]);
    world.run(3_500);
    assert_eq!(world.state.pools[&attendance].size, 12);
    world.run(200);
    assert_eq!(world.state.pools[&attendance].size, 8, "the row of 10:00");
}

/// Guards against a maintenance row that starts no wave, starts its wave twice a day or omits
/// instances that are due.
#[test]
fn night_wave() {
    let text = include_str!("../../../examples/trust.csv");
    let sheet = check_sheet(text.as_bytes()).unwrap();
    let state = fleet(&[("rotas", 16, 3, 16), ("spare", 8, 4, 34)]);
    let mut world = World::new(state, ControlPolicy::new(), 2);
    world.start = DayTime::new(20_000, 3_600);
    let policy = PlanPolicy::default();
    let plan = plan_sheet(&world.state, &sheet, world.day_time(), &policy, true).unwrap();
    assert_eq!(plan.waves[0].members, 50);
    world.write(plan.changes);
    world.run(3_600);
    assert!(world.state.waves.is_empty());
    world.run(2_000);
    let waves: Vec<_> = world.state.waves.iter().collect();
    assert_eq!(waves.len(), 1);
    assert_eq!(waves[0].0.as_str(), "night-20000");
    assert_eq!(waves[0].1.status, WaveStatus::Finished);
    assert_eq!(world.reboots, 50);
    let mut maintained = world
        .state
        .instances
        .values()
        .map(|instance| instance.maintained);
    assert!(maintained.all(|day| day == 20_000));
}
