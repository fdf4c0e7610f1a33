use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const WAITING: u8 = 0;
const ANSWERING: u8 = 1;
const ANSWERED: u8 = 2;

/// What a caller's connection is doing, shared by its stream and its answers.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerPhase {
    phase: Arc<AtomicU8>,
}

impl CallerPhase {
    /// The head of a request was read.
    pub(crate) fn begin_answer(&self) {
        self.phase.store(ANSWERING, Ordering::Relaxed);
    }

    /// The whole answer was handed over for writing.
    pub(crate) fn end_answer(&self) {
        self.phase.store(ANSWERED, Ordering::Relaxed);
    }

    /// Everything handed over was written. Returns whether the connection now waits for the next
    /// request.
    pub(crate) fn flushed(&self) -> bool {
        let change =
            self.phase
                .compare_exchange(ANSWERED, WAITING, Ordering::Relaxed, Ordering::Relaxed);
        change.is_ok()
    }

    /// Whether the connection waits for the head of a request.
    pub(crate) fn is_waiting(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == WAITING
    }
}
