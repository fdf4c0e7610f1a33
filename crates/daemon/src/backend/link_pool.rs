use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use compact_str::CompactString;
use parking_lot::Mutex;

use super::backend_link::BackendLink;

/// Connections that a worker accepts from all entry instances together.
const WORKER_CONNECTIONS: usize = 64;

/// Connections in use at most: 8 attempts and one stop or status request for each. The units of
/// the ledger bound them over all entry instances.
const WORKER_IN_USE: usize = 16;

/// Idle connections to backend servers.
///
/// With n entry instances, each keeps at most (64 - 16) / (n + 1) idle connections per worker,
/// where the added one allows for an entry instance that is not in the view yet. Idle and used
/// connections together then stay within the 64 that a worker accepts.
#[derive(Debug, Clone)]
pub(super) struct LinkPool {
    shared: Arc<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    idle: Mutex<HashMap<CompactString, Vec<BackendLink>>>,
    max_idle: AtomicUsize,
}

impl LinkPool {
    pub(super) fn new() -> Self {
        let state = PoolState {
            idle: Mutex::new(HashMap::new()),
            max_idle: AtomicUsize::new(max_idle(1)),
        };
        Self {
            shared: Arc::new(state),
        }
    }

    /// Sets the number of entry instances that share the workers' connections.
    pub(super) fn set_sessions(&self, sessions: usize) {
        let limit = max_idle(sessions);
        self.shared.max_idle.store(limit, Ordering::Relaxed);
        for links in self.shared.idle.lock().values_mut() {
            links.truncate(limit);
        }
    }

    /// Takes an idle connection that is still open, the most recently used first.
    pub(super) fn take(&self, address: &str) -> Option<BackendLink> {
        loop {
            let mut link = self.shared.idle.lock().get_mut(address)?.pop()?;
            if link.is_reusable() {
                return Some(link);
            }
        }
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(super) fn put_back(&self, address: &CompactString, mut link: BackendLink) {
        if !link.is_reusable() {
            return;
        }
        let limit = self.shared.max_idle.load(Ordering::Relaxed);
        let mut idle = self.shared.idle.lock();
        if let Some(links) = idle.get_mut(address) {
            if links.len() < limit {
                links.push(link);
            }
        } else if limit > 0 {
            idle.insert(address.clone(), vec![link]);
        }
    }

    /// Closes connections that the other side has closed, and all of workers not in `is_known`.
    pub(super) fn prune(&self, is_known: impl Fn(&str) -> bool) {
        let mut idle = self.shared.idle.lock();
        idle.retain(|address, links| {
            links.retain_mut(BackendLink::is_reusable);
            !links.is_empty() && is_known(address)
        });
    }
}

fn max_idle(sessions: usize) -> usize {
    (WORKER_CONNECTIONS - WORKER_IN_USE) / (sessions.max(1) + 1)
}
