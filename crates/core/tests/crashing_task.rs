//! Tasks that crash each worker that starts them.
//!
//! The simulation counts a violation if a task crashes more than five workers: three, and two more
//! by starts that are under way.

mod jobs;

use jobs::{JobWorld, WorldFaults, job, step};
use sesamedeal_core::jobs::{JobId, JobOrder, JobPhase, JobSchedule, StepName, StepSpec, TaskName};

/// Number of random histories of each kind of task.
const SEEDS: u64 = 24;

fn first_task(job: JobId) -> TaskName {
    let step = StepName {
        job,
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

/// Submits a job whose first task is deadly among healthy jobs, and plays 40 s.
fn play(order: JobOrder, faults: WorldFaults, seed: u64) -> (JobWorld, TaskName) {
    let mut world = JobWorld::new(6, seed).with_faults(faults);
    let before = 5 + world.pick(10);
    for number in 0..u64::from(before) {
        world.submit(number, job(vec![step(4, 1_500)]));
        world.run(4);
    }
    let id = world.submit(99, order);
    world.make_deadly(first_task(id));
    for number in 100..110 {
        world.submit(number, job(vec![step(3, 1_500)]));
        world.run(16);
    }
    world.run(800);
    (world, first_task(id))
}

/// Guards against a crash under a gang that the next owner does not know, because the start was not
/// stored before it: the gang crashed a sixth worker.
#[test]
fn stored_gang() {
    let mut world = JobWorld::new(6, 1);
    let mut spec = step(4, 1_500);
    spec.is_gang = true;
    let id = world.submit(99, job(vec![spec]));
    world.make_deadly(first_task(id));
    while world.crashes.count(first_task(id)) < 1 {
        world.run(1);
    }
    world.run(2);
    for crashes in 2..=5 {
        while world.crashes.count(first_task(id)) < crashes && world.now < 200_000 {
            world.run(1);
        }
        // The next owner takes over before the crash is stored.
        world.take_over();
        let (_, record) = &world.stored[&id];
        let known = record
            .crashes
            .iter()
            .find(|entry| entry.task == first_task(id));
        let known = known.map_or(0, |entry| entry.crashes.len());
        if world.phase(id) != JobPhase::Failed {
            assert_eq!(known, usize::try_from(crashes).unwrap(), "not stored");
        }
    }
    world.run(600);
    assert_eq!(world.phase(id), JobPhase::Failed);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

fn check(kind: &str, order: &JobOrder, faults: WorldFaults) {
    for seed in 0..SEEDS {
        let (world, task) = play(order.clone(), faults, seed);
        assert!(
            world.crashes.count(task) > 0,
            "{kind}, seed {seed}: never started"
        );
        let violations = &world.violations;
        assert!(
            violations.is_empty(),
            "{kind}, seed {seed}: {violations:#?}"
        );
        assert_eq!(
            world.phase(task.step.job),
            JobPhase::Failed,
            "{kind}, seed {seed}"
        );
    }
}

fn check_all(faults: WorldFaults) {
    let with = |change: fn(&mut StepSpec)| {
        let mut spec = step(4, 1_500);
        change(&mut spec);
        job(vec![spec])
    };
    check("plain", &with(|_| {}), faults);
    check(
        "speculative",
        &with(|spec| spec.allows_copies = true),
        faults,
    );
    check("gang", &with(|spec| spec.is_gang = true), faults);
    check("lasting", &with(|spec| spec.is_lasting = true), faults);
    check("saving", &with(|spec| spec.saves_progress = true), faults);
    let mut scheduled = with(|_| {});
    scheduled.schedule = Some(JobSchedule {
        count: 3,
        start_ms: 10_000,
        interval: std::time::Duration::from_secs(2),
    });
    check("scheduled", &scheduled, faults);
}

/// Guards against a task that crashes worker after worker until the end of the day.
#[test]
fn single_owner() {
    check_all(WorldFaults::default());
}

/// Guards against crashes that are forgotten when workers return under their old names.
#[test]
fn kept_names() {
    check_all(WorldFaults {
        kept_names: 0.7,
        ..WorldFaults::default()
    });
}

/// Guards against crashes that are forgotten when the owner changes, also while writes fail and
/// starts have no answer.
#[test]
fn owner_changes() {
    check_all(WorldFaults {
        takeovers: 0.01,
        refused_writes: 0.2,
        lost_starts: 0.1,
        kept_names: 0.3,
        ..WorldFaults::default()
    });
}

/// Guards against serving tasks that are stopped beyond the disruption budget of their step because
/// another task of the step crashes workers.
#[test]
fn disruption_budget() {
    for seed in 0..SEEDS {
        let mut serving = step(4, 1_500);
        serving.is_lasting = true;
        serving.disruption_budget = Some(1);
        let faults = WorldFaults {
            takeovers: 0.005,
            ..WorldFaults::default()
        };
        let (mut world, task) = play(job(vec![serving]), faults, seed);
        let violations = &world.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert_eq!(world.phase(task.step.job), JobPhase::Running, "seed {seed}");
        let running = world.workers.iter().flat_map(|worker| worker.tasks());
        let serving = running.filter(|name| name.step == task.step).count();
        assert_eq!(serving, 3, "seed {seed}");
        world.dispatcher.cancel_job(task.step.job);
        world.run(40);
        assert_eq!(
            world.phase(task.step.job),
            JobPhase::Cancelled,
            "seed {seed}"
        );
    }
}
