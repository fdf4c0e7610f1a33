use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::header::HeaderValue;
use tokio::sync::Notify;

use super::BackendFaults;
use super::backend_usage::BackendUsage;

/// Ended attempts that are remembered.
const MAX_ENDED: usize = 10_000;

/// Why a task does not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartRefusal {
    Full,
    KnownAttempt,
}

/// Headers and body of an answer.
#[derive(Debug, Clone)]
pub(crate) struct TaskAnswer {
    pub(crate) request: HeaderValue,
    pub(crate) attempt: HeaderValue,
    pub(crate) body: Bytes,
}

#[derive(Debug)]
struct RunningTask {
    slots: u32,
    stop: Arc<Notify>,
}

/// Tasks and faults of one run of a backend server's process.
#[derive(Debug, Default)]
pub(crate) struct BackendState {
    pub(crate) faults: BackendFaults,
    pub(crate) usage: BackendUsage,
    pub(crate) last_answer: Option<TaskAnswer>,
    running: HashMap<CompactString, RunningTask>,
    ended: HashSet<CompactString>,
    ended_order: VecDeque<CompactString>,
}

impl BackendState {
    pub(crate) fn start(
        &mut self,
        attempt: &CompactString,
        slots: u32,
        all_slots: u32,
    ) -> Result<Arc<Notify>, StartRefusal> {
        if self.running.contains_key(attempt) || self.ended.contains(attempt) {
            return Err(StartRefusal::KnownAttempt);
        }
        if self.used_slots() + slots > all_slots {
            return Err(StartRefusal::Full);
        }
        let stop = Arc::new(Notify::new());
        let task = RunningTask {
            slots,
            stop: Arc::clone(&stop),
        };
        self.running.insert(attempt.clone(), task);
        Ok(stop)
    }

    /// False if the attempt was not running.
    pub(crate) fn end(&mut self, attempt: &CompactString) -> bool {
        if self.running.remove(attempt).is_none() {
            return false;
        }
        self.ended.insert(attempt.clone());
        self.ended_order.push_back(attempt.clone());
        if self.ended_order.len() > MAX_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        true
    }

    /// Asks a running attempt to stop; false if it is not running.
    pub(crate) fn stop(&self, attempt: &str) -> bool {
        self.running.get(attempt).is_some_and(|task| {
            task.stop.notify_one();
            true
        })
    }

    pub(crate) fn used_slots(&self) -> u32 {
        self.running.values().map(|task| task.slots).sum()
    }

    pub(crate) fn attempt_state(&self, attempt: &str) -> &'static str {
        if self.running.contains_key(attempt) {
            "running"
        } else if self.ended.contains(attempt) {
            "ended"
        } else {
            "unknown"
        }
    }
}
