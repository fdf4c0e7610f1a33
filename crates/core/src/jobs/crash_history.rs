use serde::{Deserialize, Serialize};

use super::{TaskName, WorkerKey};
use crate::ids::InstanceName;

/// Number of startup crashes with which a task is given up.
const MAX_STARTUP_CRASHES: usize = 4;

/// Number of startup crashes that must be proven for [`MAX_STARTUP_CRASHES`] to count.
const MIN_PROVEN_CRASHES: usize = 2;

/// Number of crashes of any kind with which a task is given up.
const MAX_CRASHES: usize = 5;

/// Crash of a worker that may have run a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// Name of the worker.
    pub worker: InstanceName,
    /// Boot of the worker that crashed.
    pub boot: u64,
    /// Instance of the worker, if the list contains it.
    pub instance: Option<InstanceName>,
    /// Whether the run of the task had just been started, so that it may be the cause.
    pub is_startup: bool,
    /// Whether the worker had confirmed the run. An order without an answer may never have arrived.
    pub is_run_confirmed: bool,
    /// Whether the worker was started again, or another one on its instance, so that it is known not
    /// to be merely cut off.
    pub is_end_confirmed: bool,
}

impl WorkerCrash {
    /// Whether it is certain that the worker has ended while it started the task.
    const fn is_proven(&self) -> bool {
        self.is_startup && self.is_run_confirmed && self.is_end_confirmed
    }

    fn is_same(&self, other: &Self) -> bool {
        self.worker == other.worker && self.boot == other.boot
    }
}

/// Crashes under a task since it last ran undisturbed, as stored with its job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Task.
    pub task: TaskName,
    /// Crashes, in the order in which they became known.
    pub crashes: Vec<WorkerCrash>,
}

impl TaskCrashes {
    /// Whether all crashes of `other` are among these, with the same evidence.
    pub(crate) fn contains(&self, other: &Self) -> bool {
        let mut others = other.crashes.iter();
        others.all(|crash| self.crashes.contains(crash))
    }
}

/// Crashes under a task since it last ran undisturbed.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashHistory {
    pub crashes: Vec<WorkerCrash>,
    /// Whether these crashes are stored.
    pub is_stored: bool,
    /// Whether it was reported that the task is given up.
    pub is_reported: bool,
    /// Worker on which the task starts as soon as that is stored.
    pub planned_worker: Option<WorkerKey>,
}

impl CrashHistory {
    /// Number of workers that crashed while the task may have been starting.
    pub(crate) fn startup_crashes(&self) -> usize {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| crash.is_startup).count()
    }

    /// Whether the task must not be started again.
    pub(crate) fn is_exhausted(&self) -> bool {
        let crashes = self.crashes.iter();
        let proven = crashes.filter(|crash| crash.is_proven()).count();
        let is_cause = self.startup_crashes() >= MAX_STARTUP_CRASHES;
        (is_cause && proven >= MIN_PROVEN_CRASHES) || self.crashes.len() >= MAX_CRASHES
    }

    /// Adds a crash, or what is new about a known one.
    pub(crate) fn add(&mut self, crash: WorkerCrash) {
        let known = self.crashes.iter_mut();
        let Some(known) = known.into_iter().find(|known| known.is_same(&crash)) else {
            self.crashes.push(crash);
            self.is_stored = false;
            return;
        };
        let before = known.clone();
        known.is_startup |= crash.is_startup;
        known.is_run_confirmed |= crash.is_run_confirmed;
        known.is_end_confirmed |= crash.is_end_confirmed;
        self.is_stored &= *known == before;
    }

    /// Confirms that the workers for which `has_ended` is true have ended. Returns whether this was
    /// new for any of them.
    pub(crate) fn confirm_ends(&mut self, has_ended: impl Fn(&WorkerCrash) -> bool) -> bool {
        let crashes = self.crashes.iter_mut();
        let mut is_changed = false;
        for crash in crashes.filter(|crash| !crash.is_end_confirmed && has_ended(crash)) {
            crash.is_end_confirmed = true;
            is_changed = true;
        }
        self.is_stored &= !is_changed;
        is_changed
    }

    /// Removes the crashes for which `is_kept` is false, and returns whether there were any.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&WorkerCrash) -> bool) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(is_kept);
        let is_changed = self.crashes.len() < before;
        self.is_stored &= !is_changed;
        is_changed
    }
}
