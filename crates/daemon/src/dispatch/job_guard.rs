use sesamedeal_core::scheduler::JobKey;
use xtra::{Address, WeakAddress};

use super::dispatch_actor::DispatchActor;
use super::dispatch_messages::CancelJob;

/// Cancels a job when the future that waits for it is dropped.
#[derive(Debug)]
pub(crate) struct JobGuard {
    address: WeakAddress<DispatchActor>,
    job: Option<JobKey>,
}

impl JobGuard {
    pub(crate) fn new(address: &Address<DispatchActor>, job: JobKey) -> Self {
        Self {
            address: address.downgrade(),
            job: Some(job),
        }
    }

    /// Ends the guard without a cancellation.
    pub(crate) fn disarm(&mut self) {
        self.job = None;
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let (Some(job), Some(address)) = (self.job, self.address.try_upgrade()) else {
            return;
        };
        tokio::spawn(async move {
            // An actor that has ended holds no jobs.
            drop(address.send(CancelJob { job }).await);
        });
    }
}
