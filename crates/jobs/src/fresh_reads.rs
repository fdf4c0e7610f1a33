//! Reads that are never older than what this process already knows.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::FutureExt;
use sesamedeal_store::PlatformError;

use crate::ports::{FollowPage, StorePort, TransactOutcome};

/// Newest version of the store that any call of this process has returned.
#[derive(Debug, Clone, Default)]
struct KnownVersion {
    newest: Arc<AtomicU64>,
}

impl KnownVersion {
    fn load(&self) -> u64 {
        self.newest.load(Ordering::Acquire)
    }

    fn record(&self, version: u64) {
        self.newest.fetch_max(version, Ordering::AcqRel);
    }
}

/// Returns the same store with reads that fail with [`PlatformError::Outdated`] if they return a
/// state from before an answer that had arrived when the read was sent.
///
/// Changes are not checked: a page of changes may end before the newest version.
pub(crate) fn with_fresh_reads(store: StorePort) -> StorePort {
    let known = KnownVersion::default();
    let StorePort {
        has_partitions,
        transact,
        read,
        follow,
    } = store;
    let (committed, followed) = (known.clone(), known.clone());
    StorePort {
        has_partitions,
        transact: Arc::new(move |change| {
            let (call, known) = (transact(change), committed.clone());
            async move {
                let outcome = call.await?;
                if let TransactOutcome::Committed { version } = outcome {
                    known.record(version);
                }
                Ok(outcome)
            }
            .boxed()
        }),
        read: Arc::new(move |range| {
            let (call, known) = (read(range), known.clone());
            async move {
                let required = known.load();
                let page = call.await?;
                let version = page.position.version;
                if version < required {
                    return Err(PlatformError::Outdated {
                        version,
                        known: required,
                    });
                }
                known.record(version);
                Ok(page)
            }
            .boxed()
        }),
        follow: Arc::new(move |request| {
            let (call, known) = (follow(request), followed.clone());
            async move {
                let page = call.await?;
                if let FollowPage::Changes { position, .. } = &page {
                    known.record(position.version);
                }
                Ok(page)
            }
            .boxed()
        }),
    }
}
