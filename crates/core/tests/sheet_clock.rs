//! Rows of a sheet on a day on which the clock is set forward or back. Local times have a fixed
//! offset from UTC, so the clock jumps when the operator changes the offset.

mod support;

use sesamedeal_core::control::ControlPolicy;
use sesamedeal_core::fleet::{DayTime, FleetChange, TeamRecord};
use sesamedeal_core::ids::TeamName;
use sesamedeal_core::sheet::{check_sheet, sheet_changes};
use support::fleet;
use support::world::World;

const DAY: u32 = 20_000;

const SHEET: &str = "\
at,kind,name,pool,size,max_unavailable,spare,share,limit,open
00:00,pool,rota,,2,1,no,,,
00:00,pool,spare,,0,1,yes,,,
00:00,team,clock,,,,,1,10,
01:30,team,clock,,,,,1,20,
02:30,team,clock,,,,,1,30,
03:30,team,clock,,,,,1,40,
02:15,maintenance,night,rota,,,,,,
,end,,,7,,,,,
";

/// Creates a fleet whose sheet was applied at midnight; `minute` is the current minute of the day.
fn world(minute: u32) -> World {
    let sheet = check_sheet(SHEET.as_bytes()).unwrap();
    let mut world = World::new(
        fleet(&[("rota", 2, 1, 2), ("spare", 0, 1, 0)]),
        ControlPolicy::new(),
        2,
    );
    world.start = DayTime::new(DAY, 0);
    let now = world.day_time();
    let changes = sheet_changes(&world.state, &sheet, now);
    world.write(changes);
    set_clock(&mut world, minute);
    world.run(10);
    world
}

/// Sets the local clock to a minute of the day, as a changed offset from UTC does.
fn set_clock(world: &mut World, minute: u32) {
    let elapsed = u32::try_from(world.millis / 1_000).unwrap();
    world.start = DayTime::new(DAY, minute * 60 - elapsed);
}

fn limit(world: &World) -> u32 {
    world.state.teams[&TeamName::new("clock")].limit
}

fn put_limit(limit: u32) -> FleetChange {
    FleetChange::PutTeam {
        name: TeamName::new("clock"),
        team: TeamRecord { share: 1, limit },
    }
}

/// Runs the controller for some seconds and returns the team limits that it sets.
fn limits_set(world: &mut World, seconds: u64) -> Vec<u32> {
    let mut limits = Vec::new();
    for _ in 0..seconds {
        for change in world.step().changes {
            if let FleetChange::PutTeam { team, .. } = change {
                limits.push(team.limit);
            }
        }
        world.pass(1_000);
    }
    limits
}

/// Guards against rows that are never applied because the clock skips their time of day.
#[test]
fn hour_skipped() {
    let mut world = world(119);
    assert_eq!(limit(&world), 20);
    assert!(world.state.waves.is_empty());
    set_clock(&mut world, 180);
    assert_eq!(limits_set(&mut world, 10), [30]);
    assert_eq!(world.state.waves.len(), 1);
    set_clock(&mut world, 210);
    assert_eq!(limits_set(&mut world, 10), [40]);
}

/// Guards against rows that are applied and waves that start a second time when an hour occurs
/// twice, which would also revert an operator's change.
#[test]
fn hour_repeated() {
    let mut world = world(179);
    assert_eq!(limit(&world), 30);
    assert_eq!(world.state.waves.len(), 1);
    world.write(vec![put_limit(35)]);
    for minute in [120, 135, 150, 179, 180] {
        set_clock(&mut world, minute);
        assert_eq!(limits_set(&mut world, 10), [0; 0]);
    }
    assert_eq!((limit(&world), world.state.waves.len()), (35, 1));
    set_clock(&mut world, 210);
    assert_eq!(limits_set(&mut world, 10), [40]);
}

/// Guards against skipped rows after a sheet is applied within the repeated hour: its rows later in
/// that hour must still take effect.
#[test]
fn sheet_in_repeat() {
    let mut world = world(179);
    set_clock(&mut world, 120);
    let sheet = check_sheet(SHEET.as_bytes()).unwrap();
    let changes = sheet_changes(&world.state, &sheet, world.day_time());
    world.write(changes);
    assert_eq!(limit(&world), 20);
    set_clock(&mut world, 150);
    assert_eq!(limits_set(&mut world, 10), [30]);
}
