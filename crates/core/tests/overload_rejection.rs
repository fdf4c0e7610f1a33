//! Rejection of jobs that cannot end while their result is of use.

mod jobs;

use std::time::Duration;

use jobs::load_run::{FULL_RATE, LoadRun};
use jobs::{JobWorld, amount, job, step};
use sesamedeal_core::ids::{QueueName, TeamName};
use sesamedeal_core::jobs::{
    JobId, JobOrder, JobSchedule, QueueOverload, QueueRule, QueueScale, StepSpec,
};

/// A publication by which jobs of the team with much work are rejected.
fn overload() -> QueueOverload {
    QueueOverload {
        queue: QueueName::new("queue"),
        wait_ms: 30_000,
        work_per_value: 10_000,
        scale: QueueScale {
            mean: 10_000,
            large: 1_000_000,
            kept_permille: 0,
        },
        teams: vec![TeamName::new("team")],
        is_teamless: false,
    }
}

fn rule() -> QueueRule {
    let rules = jobs::rules(amount(0, 0));
    rules.queues[&QueueName::new("queue")].clone()
}

/// A job with 100 core seconds of work, and an objective of 1.4 s.
fn large_job() -> JobOrder {
    job(vec![step(100, 2_000)])
}

fn is_rejected(overload: &QueueOverload, order: &JobOrder) -> bool {
    overload.rejection(JobId(1), order, &rule()).is_some()
}

/// Guards against accepting a job that cannot end while of use, and against rejecting one that would
/// take the place of another or end while of use.
#[test]
fn hopeless_only() {
    assert!(is_rejected(&overload(), &large_job()));
    assert!(!is_rejected(&overload(), &job(vec![step(2, 1_000)])));
    let mut short = overload();
    short.wait_ms = 4_200;
    assert!(!is_rejected(&short, &large_job()));
    short.wait_ms = 4_201;
    assert!(is_rejected(&short, &large_job()));
    let mut kept = overload();
    kept.scale.large = 50_000;
    kept.scale.kept_permille = 1_000;
    assert!(!is_rejected(&kept, &large_job()));
}

/// Guards against rejecting scheduled and long-running jobs, and jobs of teams within their share.
#[test]
fn always_accepted() {
    let mut scheduled = large_job();
    scheduled.schedule = Some(JobSchedule {
        count: 2,
        start_ms: 0,
        interval: Duration::from_secs(1),
    });
    assert!(!is_rejected(&overload(), &scheduled));
    let long_running = StepSpec {
        is_lasting: true,
        ..step(1, 1_000)
    };
    let mixed = job(vec![step(100, 2_000), long_running]);
    assert!(!is_rejected(&overload(), &mixed));
    let mut other = large_job();
    other.team = Some(TeamName::new("other"));
    assert!(!is_rejected(&overload(), &other));
    other.team = None;
    assert!(!is_rejected(&overload(), &other));
}

/// Guards against rejecting, under any load, a job that was served while of use when it was accepted.
#[test]
fn served_accepted() {
    for (rate, error, seconds) in [(3.0, 0.0, 15), (5.0, 0.9, 8), (8.0, 0.5, 4)] {
        let mut run = LoadRun::new(1, &["one", "two"], error, true);
        run.add_jobs(
            "queue-0",
            "one",
            (1_000, 1_000 + seconds * 1_000),
            FULL_RATE * rate,
        );
        run.add_jobs("queue-0", "two", (0, 20_000), FULL_RATE * 0.2);
        let rule = run.rules.queues[&QueueName::new("queue-0")].clone();
        let mut orders: Vec<(u64, JobOrder)> = Vec::new();
        orders.extend(run.jobs.iter().map(|job| (job.arrives, job.order.clone())));
        orders.sort_by_key(|(arrives, _)| *arrives);
        let mut rejected = vec![false; orders.len()];
        let mut published = 0;
        run.serve(28_000, |now, world: &mut JobWorld| {
            let overloads = world.dispatcher.queue_overloads(0);
            published += overloads.len();
            for (number, (arrives, order)) in orders.iter().enumerate() {
                if (now.saturating_sub(50)..now).contains(arrives) {
                    let id = jobs::load_run::job_id(number);
                    let mut rejections = overloads.iter();
                    rejected[number] =
                        rejections.any(|row| row.rejection(id, order, &rule).is_some());
                }
            }
        });
        let rejections = rejected.iter().filter(|is_rejected| **is_rejected).count();
        let wrong = rejected.iter().zip(&run.jobs);
        let wrong = wrong.filter(|(is_rejected, job)| **is_rejected && job.is_within(3));
        let wrong = wrong.count();
        println!(
            "{rate} times the capacity for {seconds} s, estimates off by {error}: {rejections} of {} rejected, {wrong} of them served",
            orders.len()
        );
        assert!(published > 0, "no overload published");
        assert_eq!(wrong, 0, "rejected jobs were served");
    }
}
