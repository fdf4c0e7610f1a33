//! Jobs that arrive while the previous owner continues after a takeover.

mod jobs;

use std::time::Duration;

use jobs::{at, job, rules, starts, step, worker_report};
use sesamedeal_core::jobs::{
    DispatchPolicy, HoldReport, JobDispatcher, JobId, JobRecord, ResourceAmount,
};

/// Guards against two runs of a task of a job that is accepted just after a takeover from an owner
/// that continues: it also starts new jobs, on workers that have not answered the successor yet.
#[test]
fn overlapping_owners() {
    for (overlap, expected) in [(Duration::ZERO, 2), (Duration::from_secs(2), 0)] {
        let now = 10_000;
        let rules = rules(ResourceAmount::default());
        let mut dispatcher = JobDispatcher::new(DispatchPolicy::default(), rules, 2, at(now))
            .with_arrival_overlap(overlap);
        let (answering, _) = dispatcher.set_worker(worker_report(0, 1), at(now));
        let (silent, _) = dispatcher.set_worker(worker_report(1, 1), at(now));
        let reports = [0, 1].map(|number| worker_report(number, 1)).into_iter();
        dispatcher.note_inventory(reports.map(|report| (report.name, report.pool)).collect());
        let report = HoldReport {
            sent: at(now),
            clock_ms: now,
            boot: 1,
            running: Vec::new(),
            ended: Vec::new(),
        };
        dispatcher.note_hold(answering, &report, at(now));
        let order = job(vec![step(2, 500)]);
        dispatcher.add_job(JobId(1), order, JobRecord::new(), false, at(now + 10));
        assert_eq!(starts(&mut dispatcher, now + 20), expected, "{overlap:?}");
        dispatcher.note_hold(silent, &report, at(now + 30));
        let later = starts(&mut dispatcher, now + 40);
        assert_eq!(expected + later, 2, "{overlap:?}");
    }
}
