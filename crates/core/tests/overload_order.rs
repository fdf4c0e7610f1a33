//! Load pattern: demand exceeds the capacity of a pool or the limit of a team for several seconds.

#![expect(
    clippy::cast_precision_loss,
    reason = "numbers of jobs are far below 2^52"
)]

mod jobs;

use std::sync::Arc;

use jobs::amount;
use jobs::load_planner::{planned_in_time, size_shares};
use jobs::load_run::{FULL_RATE, LoadJob, LoadRun, WORKERS};
use sesamedeal_core::ids::TeamName;

const POOL_CPU: u64 = 16_000 * WORKERS as u64;

fn surge(error: f64, is_deferring: bool) -> LoadRun {
    let mut run = LoadRun::new(1, &["one"], error, is_deferring);
    run.add_jobs("queue-0", "one", (0, 5_000), FULL_RATE * 0.5);
    run.add_jobs("queue-0", "one", (5_000, 25_000), FULL_RATE * 3.0);
    run.add_jobs("queue-0", "one", (25_000, 35_000), FULL_RATE * 0.5);
    run.serve(40_000, |_, _| {});
    run
}

/// Compares with the planner, and prints the figures for the design note.
fn planner_ratio(name: &str, run: &LoadRun) -> f64 {
    let served = run.count(LoadJob::is_in_time);
    let planned = planned_in_time(&run.jobs, POOL_CPU);
    let ratio = served as f64 / planned as f64;
    println!(
        "{name}: {served} of {} in time, planner {planned}, ratio {ratio:.3}",
        run.jobs.len()
    );
    ratio
}

fn assert_surge(error: f64) {
    let run = surge(error, true);
    let ratio = planner_ratio(&format!("surge, estimates off by {error}"), &run);
    let before = surge(error, false).count(LoadJob::is_in_time);
    println!("without deferral: {before} in time");
    let jobs: Vec<LoadJob> = run
        .jobs
        .iter()
        .filter(|job| (5_000..25_000).contains(&job.arrives))
        .cloned()
        .collect();
    let [all, tenth, fifth] = size_shares(&jobs, LoadJob::declared);
    println!("in time of the surge {all:.3}, largest tenth {tenth:.3}, next fifth {fifth:.3}");
    let after = run.share(|job| job.arrives >= 27_000);
    let flips = run.deferrals.values().filter(|count| **count > 2).count();
    println!(
        "in time from 2 s after the surge {after:.3}; {flips} of {} deferred more than twice",
        run.deferrals.len()
    );
    assert!(
        tenth >= all / 2.0 && fifth >= all / 2.0,
        "large jobs: {tenth} and {fifth} of {all}"
    );
    assert!(after >= 0.9, "{after} in time after the surge");
    assert!(flips * 20 <= run.deferrals.len(), "{flips} jobs flip");
    assert!(ratio >= 0.8, "{ratio} of the planner");
}

/// Guards against a surge in which nearly all jobs are served too late, and against a backlog that
/// outlives it.
#[test]
fn threefold_surge() {
    assert_surge(0.0);
}

/// Guards against a plan that relies on declared run times.
#[test]
fn wrong_estimates() {
    assert_surge(0.9);
}

/// Guards against one overloaded pool that changes the order in another.
#[test]
fn two_kinds() {
    let run = |is_deferring| {
        let mut run = LoadRun::new(3, &["one"], 0.5, is_deferring);
        for queue in ["queue-0", "queue-1"] {
            run.add_jobs(queue, "one", (2_000, 10_000), FULL_RATE * 3.0);
        }
        run.add_jobs("queue-2", "one", (0, 12_000), FULL_RATE * 0.7);
        run.serve(16_000, |_, _| {});
        run
    };
    let (before, now) = (run(false), run(true));
    let served = |run: &LoadRun, queue| run.count(|job| job.is_of(queue, "") && job.is_in_time());
    for queue in ["queue-0", "queue-1", "queue-2"] {
        println!(
            "{queue}: {} in time, before {}",
            served(&now, queue),
            served(&before, queue)
        );
    }
    assert!(served(&now, "queue-0") * 2 > served(&before, "queue-0") * 3);
    assert!(served(&now, "queue-1") * 2 > served(&before, "queue-1") * 3);
    assert_eq!(served(&now, "queue-2"), served(&before, "queue-2"));
}

/// Guards against small teams that are deferred for the excess of a large one.
#[test]
fn hot_team() {
    let run = |is_deferring| {
        let mut run = LoadRun::new(1, &["hot", "one", "two"], 0.5, is_deferring);
        run.add_jobs("queue-0", "hot", (2_000, 14_000), FULL_RATE * 2.5);
        for team in ["one", "two"] {
            run.add_jobs("queue-0", team, (0, 16_000), FULL_RATE * 0.1);
        }
        run.serve(20_000, |_, _| {});
        run
    };
    let (before, now) = (run(false), run(true));
    let share = |run: &LoadRun, team| run.share(|job| job.is_of("queue-0", team));
    for team in ["hot", "one", "two"] {
        println!(
            "{team}: share in time {:.3}, before {:.3}",
            share(&now, team),
            share(&before, team)
        );
    }
    assert!(share(&now, "hot") > share(&before, "hot") * 1.5);
    assert!(share(&now, "one") >= share(&before, "one") - 0.05);
    assert!(share(&now, "two") >= share(&before, "two") - 0.05);
}

/// Guards against a backlog of one burst that spoils the next ones.
#[test]
fn repeated_bursts() {
    let mut run = LoadRun::new(1, &["one"], 0.5, true);
    for burst in 0..5 {
        let from = 1_000 + burst * 5_000;
        run.add_jobs("queue-0", "one", (from, from + 2_000), FULL_RATE * 4.0);
    }
    run.serve(30_000, |_, _| {});
    println!(
        "bursts {:?} {:?}",
        run.deferrals.len(),
        size_shares(&run.jobs, LoadJob::declared)
    );
    let ratio = planner_ratio("bursts", &run);
    assert!(ratio >= 0.8, "{ratio} of the planner");
}

/// Guards against jobs of a team at its limit that are all served too late, and against starts over a
/// limit that is lowered under load.
#[test]
fn lowered_limit() {
    let limited = |cores: u64| amount(cores * 1_000, 0);
    let run = |is_deferring| {
        let mut run = LoadRun::new(1, &["one", "two"], 0.5, is_deferring);
        let name = TeamName::new("one");
        run.rules
            .teams
            .get_mut(&name)
            .expect("the team exists")
            .limit = limited(120);
        run.add_jobs("queue-0", "one", (0, 12_000), FULL_RATE);
        run.add_jobs("queue-0", "two", (0, 14_000), FULL_RATE * 0.3);
        let mut rules = run.rules.clone();
        rules.teams.get_mut(&name).expect("the team exists").limit = limited(60);
        let rules = Arc::new(rules);
        run.serve(18_000, |now, world| {
            if now == 4_000 {
                world.dispatcher.set_rules(Arc::clone(&rules));
            }
            let used = world.team_use(&name).cpu_millis;
            assert!(now > 6_000 || used <= 120_000, "{used} used at {now}");
            assert!(now <= 6_000 || used <= 60_000, "{used} used at {now}");
        });
        run
    };
    let (before, now) = (run(false), run(true));
    let served =
        |run: &LoadRun, team| run.count(|job| job.is_of("queue-0", team) && job.is_in_time());
    for team in ["one", "two"] {
        println!(
            "{team}: {} in time, before {}",
            served(&now, team),
            served(&before, team)
        );
    }
    assert!(served(&now, "one") * 2 > served(&before, "one") * 3);
    assert_eq!(served(&now, "two"), served(&before, "two"));
}

/// Guards against another order than without the plan in a pool whose demand is within its capacity.
#[test]
fn order_unchanged() {
    let run = |is_deferring| {
        let mut run = LoadRun::new(1, &["one", "two"], 0.5, is_deferring);
        run.add_jobs("queue-0", "one", (0, 20_000), FULL_RATE * 0.5);
        run.add_jobs("queue-0", "two", (0, 20_000), FULL_RATE * 0.2);
        run.serve(25_000, |_, _| {});
        run
    };
    let (before, now) = (run(false), run(true));
    let ends = |run: &LoadRun| run.jobs.iter().map(|job| job.ended).collect::<Vec<_>>();
    assert!(
        now.deferrals.is_empty(),
        "{} jobs deferred",
        now.deferrals.len()
    );
    assert_eq!(ends(&before), ends(&now));
}
