use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that the request bodies of one entry instance take together at most, in bytes.
const MAX_BUFFERED_BYTES: usize = 512 * 1024 * 1024;

/// Bound on the memory of request bodies over all callers.
#[derive(Debug, Clone, Default)]
pub(crate) struct BodyBudget {
    used: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// Starts an account without bytes.
    pub(crate) fn account(&self) -> BodyAccount {
        BodyAccount {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Bytes that one request holds; they are returned when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyAccount {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyAccount {
    /// Takes bytes; returns false when the budget is used up.
    pub(crate) fn take(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        used + bytes <= MAX_BUFFERED_BYTES
    }
}

impl Drop for BodyAccount {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
