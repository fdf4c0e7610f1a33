//! Hold calls and orders to workers. A hold call extends a worker's lease and returns its lists of
//! running and ended tasks.

use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::jobs::{HoldReport, StartOutcome, WorkerKey, WorkerOrder};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::{debug, info, warn};

use super::owner_actor::OwnerActor;
use super::worker_links::WorkerLink;
use crate::BootClock;
use crate::ports::{
    HoldOutcome, HoldRequest, PaceRequest, StartRequest, StopRequest, WorkerAddress,
};

/// Pause after a failed hold call.
const HOLD_RETRY: Duration = Duration::from_millis(150);

/// Maximum time that a hold call waits until the known ends are stored. A worker with
/// unacknowledged ends answers at once.
const STORE_WAIT: Duration = Duration::from_millis(300);

impl OwnerActor {
    pub(super) fn send_order(&mut self, order: WorkerOrder, now: TimePoint) {
        let (WorkerOrder::Start(key, _) | WorkerOrder::Stop(key, ..) | WorkerOrder::Pace(key, ..)) =
            order;
        let Some((link, worker)) = self.link(key) else {
            return;
        };
        let semaphore = Arc::clone(&link.semaphore);
        let fence = link.fence;
        let stop_request = |task, run| StopRequest {
            worker: worker.clone(),
            fence,
            task,
            run,
        };
        match order {
            WorkerOrder::Start(_, order) => {
                let Some(lease_end_ms) = link.lease_end_ms(self.lease_length(), now) else {
                    // Without the worker's clock no lease can be granted.
                    self.dispatcher.note_start(
                        key,
                        order.task,
                        order.run,
                        StartOutcome::Refused,
                        now,
                    );
                    return;
                };
                let request = StartRequest {
                    worker,
                    fence,
                    lease_end_ms,
                    order,
                };
                let clock_age = link.clock_age(now);
                self.sender.start(key, semaphore, request);
                self.dispatcher
                    .note_extension(key, self.lease_length(), clock_age, now);
            }
            WorkerOrder::Stop(_, task, run) => {
                self.sender.stop(key, semaphore, stop_request(task, run));
            }
            WorkerOrder::Pace(_, task, run, percent) => {
                let run = stop_request(task, run);
                self.sender.pace(semaphore, PaceRequest { run, percent });
            }
        }
    }

    pub(super) fn link(&self, key: WorkerKey) -> Option<(&WorkerLink, WorkerAddress)> {
        let report = self.dispatcher.worker(key)?;
        let worker = WorkerAddress {
            name: report.name.clone(),
            address: report.address,
        };
        Some((self.links.get(key)?, worker))
    }

    pub(super) fn open_link(&mut self, key: WorkerKey, now: TimePoint) {
        let fence = self.dispatcher.fence(key);
        let max_orders = self.parts.policy.max_concurrent_orders;
        self.links.open(key, fence, max_orders, now);
    }

    /// Sends the hold calls that are due.
    pub(super) fn send_holds(&mut self, now: TimePoint) {
        let lease = self.lease_length();
        let policy = &self.parts.policy;
        for (key, link) in self.links.iter_mut() {
            if link.is_calling || link.next_hold > now {
                continue;
            }
            let Some(report) = self.dispatcher.worker(key) else {
                continue;
            };
            if self.dispatcher.has_unstored_ends(key) && now < link.store_deadline {
                continue;
            }
            let is_idle = self.dispatcher.is_idle(key);
            let is_unresponsive = link.failures > 0;
            let wait = if link.clock.is_none() || is_unresponsive || self.is_retiring {
                Duration::ZERO
            } else if is_idle {
                policy.idle_wait
            } else if self.dispatcher.has_starting_task(key)
                || self.dispatcher.has_starting_suspect(key)
            {
                policy.start_wait
            } else {
                policy.hold_wait
            };
            // The lease of an unresponsive worker must expire so that its tasks can run elsewhere.
            // A successor relies on this for all workers that were published as unreachable.
            let may_extend = !is_unresponsive && !self.dispatcher.is_published(key);
            let lease_end_ms = link.lease_end_ms(lease, now).filter(|_| may_extend);
            // A worker that did not answer may have been started again, and has other ends then.
            let stored_end = if is_unresponsive {
                0
            } else {
                self.dispatcher.stored_end(key)
            };
            let request = HoldRequest {
                worker: WorkerAddress {
                    name: report.name.clone(),
                    address: report.address,
                },
                fence: link.fence,
                stored_end,
                lease_end_ms,
                wait,
            };
            link.is_calling = true;
            self.sender.hold(key, request, wait + policy.hold_margin);
            if lease_end_ms.is_some() {
                self.dispatcher
                    .note_extension(key, lease, link.clock_age(now), now);
            }
        }
    }

    pub(super) fn handle_hold_result(
        &mut self,
        key: WorkerKey,
        fence: u64,
        sent: TimePoint,
        outcome: Result<HoldOutcome>,
    ) {
        let now = BootClock.now();
        let Some(link) = self.links.current(key, fence) else {
            return;
        };
        link.is_calling = false;
        match outcome {
            Ok(HoldOutcome::Held(report)) => {
                if link.failures > 0 || link.clock.is_none() {
                    info!(self.parts.logger, "worker reached"; "worker" => self.dispatcher.worker(key).map(|worker| worker.name.to_string()), "failures" => link.failures, "boot" => report.boot, "running" => report.running.len(), "ended" => report.ended.len());
                }
                link.failures = 0;
                link.clock = Some((report.clock_ms, now));
                link.next_hold = sent.after(self.parts.policy.min_hold_interval).max(now);
                link.store_deadline = now.after(STORE_WAIT);
                let processed = self.dispatcher.processed_end(key);
                let was_cut = self.dispatcher.is_list_cut(key);
                if self.dispatcher.note_report(key, &report, now) {
                    info!(self.parts.logger, "worker restarted"; "worker" => self.dispatcher.worker(key).map(|worker| worker.name.to_string()), "boot" => report.boot);
                    self.open_link(key, now);
                } else {
                    self.log_ends(key, &report, processed);
                    self.log_list_cut(key, &report, was_cut);
                }
            }
            Ok(HoldOutcome::Fenced) => self.step_down("a worker has seen a later epoch"),
            Ok(HoldOutcome::Replaced) => {
                link.failures += 1;
                link.next_hold = now.after(HOLD_RETRY);
                self.dispatcher.note_unresponsive(key);
                debug!(self.parts.logger, "another worker answered at this address"; "worker" => ?key);
            }
            Err(error) => {
                link.failures += 1;
                link.next_hold = now.after(HOLD_RETRY);
                self.dispatcher.note_unresponsive(key);
                if link.failures == 1 {
                    warn!(self.parts.logger, "worker does not answer"; "worker" => self.dispatcher.worker(key).map(|worker| worker.name.to_string()), "error" => %error);
                }
            }
        }
    }

    /// Ends the ownership after a worker has refused a call because of its fence number, unless the
    /// worker has meanwhile got a new link, which has a higher one.
    pub(super) fn handle_fenced(&mut self, key: WorkerKey, fence: u64) {
        if self.links.is_current(key, fence) {
            self.step_down("a worker has seen a later epoch");
        }
    }

    /// Logs and counts the ends that were new; `processed` is the number of the last known one.
    fn log_ends(&self, key: WorkerKey, report: &HoldReport, processed: u64) {
        let worker = self.dispatcher.worker(key);
        let worker = worker.map(|worker| worker.name.as_str());
        for end in &report.ended {
            if end.number > processed {
                self.parts.metrics.count_end(end.kind);
                info!(self.parts.logger, "end"; "task" => %end.task, "run" => end.run, "worker" => worker, "number" => end.number, "kind" => ?end.kind);
            }
        }
    }

    /// Logs that the list of a worker has been cut short, or includes all ends again.
    fn log_list_cut(&self, key: WorkerKey, report: &HoldReport, was_cut: bool) {
        let is_cut = self.dispatcher.is_list_cut(key);
        if is_cut == was_cut {
            return;
        }
        let worker = self.dispatcher.worker(key);
        let worker = worker.map(|worker| worker.name.as_str());
        let message = if is_cut {
            "list of ends cut short"
        } else {
            "list of ends whole again"
        };
        info!(self.parts.logger, "{}", message; "worker" => worker, "ended" => report.ended.len(), "last" => report.ended.last().map(|end| end.number), "stored" => self.dispatcher.stored_end(key));
    }

    /// Closes the links to workers that the dispatcher no longer tracks.
    pub(super) fn close_links(&mut self) {
        let gone: Vec<WorkerKey> = self
            .links
            .iter_mut()
            .map(|(key, _)| key)
            .filter(|key| self.dispatcher.worker(*key).is_none())
            .collect();
        for key in gone {
            self.links.remove(key);
        }
    }
}
