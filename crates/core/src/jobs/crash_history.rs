use serde::{Deserialize, Serialize};

use super::TaskName;
use crate::ids::InstanceName;

/// Number of workers that may crash while a task starts on them. With this many, the task is given
/// up.
const MAX_STARTUP_CRASHES: usize = 3;

/// Number of workers that may crash under a task at any age of its runs. With this many, the task
/// is given up.
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
}

/// Crashes under a task since it last ran undisturbed, as stored with its job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Task.
    pub task: TaskName,
    /// Crashes, in the order in which they became known.
    pub crashes: Vec<WorkerCrash>,
}

/// Crashes under a task since it last ran undisturbed.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashHistory {
    pub crashes: Vec<WorkerCrash>,
    /// Whether these crashes are stored.
    pub is_stored: bool,
    /// Whether it was reported that the task is given up.
    pub is_reported: bool,
}

impl CrashHistory {
    /// Number of workers that crashed while the task started.
    pub(crate) fn startup_crashes(&self) -> usize {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| crash.is_startup).count()
    }

    /// Whether the task must not be started again.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.startup_crashes() >= MAX_STARTUP_CRASHES || self.crashes.len() >= MAX_CRASHES
    }

    /// Adds a crash. A crash that is known counts as one during a start if it was reported as such
    /// once.
    pub(crate) fn add(&mut self, crash: WorkerCrash) {
        let mut known = self.crashes.iter_mut();
        let known = known.find(|known| known.worker == crash.worker && known.boot == crash.boot);
        match known {
            Some(known) if known.is_startup || !crash.is_startup => return,
            Some(known) => known.is_startup = true,
            None => self.crashes.push(crash),
        }
        self.is_stored = false;
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
