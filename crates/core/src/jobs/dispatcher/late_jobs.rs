//! Jobs that a worker reports before this owner has received them. A previous owner may have started a
//! job that was accepted after this owner had read the table.
//!
//! Until the table is known to be complete up to the first report, the job may still arrive. Meanwhile
//! its runs and ends are kept as those of jobs whose partition has not been read.

use std::collections::HashMap;
use std::time::Duration;

use super::JobDispatcher;
use crate::jobs::{HoldReport, JobId};
use crate::time::TimePoint;

/// Time after which an unknown job is forgotten. If a worker reports it again, it is kept anew.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Jobs that were reported and are not known.
#[derive(Debug, Default)]
pub(super) struct LateJobs {
    /// Time up to which all accepted jobs are known; none if all jobs are.
    complete_until: Option<TimePoint>,
    /// When each job was first reported.
    reported: HashMap<JobId, TimePoint>,
}

impl LateJobs {
    /// Whether a job that was reported may have been accepted and not received yet.
    pub(super) fn may_arrive(&self, job: JobId) -> bool {
        let reported = self.reported.get(&job);
        reported.is_some_and(|at| self.complete_until.is_some_and(|until| until <= *at))
    }
}

impl JobDispatcher {
    /// Records that all jobs accepted before `until` have been added. Without a call, all jobs are
    /// taken to be known.
    pub fn note_jobs_complete(&mut self, until: TimePoint, now: TimePoint) {
        let late = &mut self.late_jobs;
        late.complete_until = late.complete_until.max(Some(until));
        if late.reported.is_empty() {
            return;
        }
        late.reported.retain(|_, at| now.since(*at) < FORGET_TIME);
        self.drop_kept_ends();
    }

    /// Records the jobs of a report that are not known.
    pub(super) fn note_late_jobs(&mut self, report: &HoldReport, now: TimePoint) {
        if self.late_jobs.complete_until.is_none() {
            return;
        }
        for job in report.tasks().map(|task| task.step.job) {
            if !self.jobs.contains_key(&job) && !self.ended_jobs.contains(&job) {
                self.late_jobs.reported.entry(job).or_insert(now);
            }
        }
    }

    /// Adopts the runs and processes the ends of reported jobs that have arrived.
    pub(super) fn take_up_late_jobs(&mut self, now: TimePoint) {
        let reported = self.late_jobs.reported.keys().copied();
        let arrived: Vec<JobId> = reported.filter(|job| self.jobs.contains_key(job)).collect();
        if arrived.is_empty() {
            return;
        }
        for job in &arrived {
            self.late_jobs.reported.remove(job);
        }
        self.take_up(|job| arrived.contains(&job), now);
    }
}
