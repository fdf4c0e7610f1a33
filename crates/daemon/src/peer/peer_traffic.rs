use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of the messages exchanged with peers, with their HTTP heads.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerTraffic {
    counts: Arc<TrafficCounts>,
}

#[derive(Debug, Default)]
struct TrafficCounts {
    sent: AtomicU64,
    received: AtomicU64,
}

impl PeerTraffic {
    pub(crate) fn note_sent(&self, bytes: usize) {
        self.counts.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn note_received(&self, bytes: usize) {
        self.counts
            .received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes sent and received since the start.
    pub(crate) fn totals(&self) -> (u64, u64) {
        (
            self.counts.sent.load(Ordering::Relaxed),
            self.counts.received.load(Ordering::Relaxed),
        )
    }
}
