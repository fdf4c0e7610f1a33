use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures::FutureExt;
use parking_lot::Mutex;
use sesamedeal_core::jobs::{EndKind, HoldReport, RunEnd, RunReport, StartOutcome, TaskName};
use sesamedeal_jobs::BootClock;
use sesamedeal_jobs::ports::{
    HoldOutcome, HoldRequest, StartRequest, StopRequest, WorkerAddress, WorkerPort,
};
use sesamedeal_store::{PlatformError, Result};
use tokio::time::{Instant, sleep};

/// Run time of a batch task.
const RUN_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct WorkerState {
    boot: u64,
    fence: u64,
    running: BTreeMap<(TaskName, u64), Instant>,
    ended: Vec<RunEnd>,
    next_end: u64,
    is_unreachable: bool,
}

impl WorkerState {
    fn with_boot(boot: u64) -> Self {
        Self {
            boot,
            ..Self::default()
        }
    }

    fn end(&mut self, task: TaskName, run: u64, kind: EndKind) {
        self.running.remove(&(task, run));
        self.next_end += 1;
        self.ended.push(RunEnd {
            number: self.next_end,
            task,
            run,
            kind,
            saved: CompactString::default(),
        });
    }

    fn finish_due_tasks(&mut self, is_long_running: bool) {
        if is_long_running {
            return;
        }
        let now = Instant::now();
        let due = self.running.iter().filter(|(_, end)| **end <= now);
        let due: Vec<(TaskName, u64)> = due.map(|(run, _)| *run).collect();
        for (task, run) in due {
            self.end(task, run, EndKind::Done);
        }
    }
}

/// In-memory workers, identified by the port of their address.
#[derive(Debug, Clone)]
pub struct MemoryWorkers {
    workers: Arc<Mutex<Vec<WorkerState>>>,
    /// Whether tasks run until they are stopped.
    pub is_long_running: Arc<Mutex<bool>>,
    /// All starts: task, run number and fence number of the owner.
    pub starts: Arc<Mutex<Vec<(TaskName, u64, u64)>>>,
}

impl MemoryWorkers {
    pub fn new(count: usize) -> Self {
        let workers = (0..count).map(|_| WorkerState::with_boot(1)).collect();
        Self {
            workers: Arc::new(Mutex::new(workers)),
            is_long_running: Arc::default(),
            starts: Arc::default(),
        }
    }

    /// Returns the number of tasks that run on all workers.
    pub fn running(&self) -> usize {
        let workers = self.workers.lock();
        workers.iter().map(|worker| worker.running.len()).sum()
    }

    /// Returns the number of tasks that run on one worker.
    pub fn running_on(&self, number: usize) -> usize {
        self.workers.lock()[number].running.len()
    }

    /// Restarts a worker with an empty state. Returns its new boot number and the number of tasks
    /// that the restart ended.
    pub fn reboot(&self, number: usize) -> (u64, usize) {
        let mut workers = self.workers.lock();
        let ended = workers[number].running.len();
        let boot = workers[number].boot + 1;
        workers[number] = WorkerState::with_boot(boot);
        (boot, ended)
    }

    /// Sets the highest fence number that a worker has seen.
    pub fn raise_fence(&self, number: usize, fence: u64) {
        self.workers.lock()[number].fence = fence;
    }

    pub fn set_unreachable(&self, number: usize, is_unreachable: bool) {
        self.workers.lock()[number].is_unreachable = is_unreachable;
    }

    pub fn port(&self) -> WorkerPort {
        let (holds, starts, stops) = (self.clone(), self.clone(), self.clone());
        WorkerPort {
            hold: Arc::new(move |request| {
                let workers = holds.clone();
                async move { workers.hold(request).await }.boxed()
            }),
            start: Arc::new(move |request| {
                let workers = starts.clone();
                async move { workers.start(&request) }.boxed()
            }),
            stop: Arc::new(move |request| {
                let workers = stops.clone();
                async move { workers.stop(&request) }.boxed()
            }),
            pace: Arc::new(|_request| async { Ok(true) }.boxed()),
        }
    }

    fn with_worker<R>(
        &self,
        address: &WorkerAddress,
        action: impl FnOnce(&mut WorkerState) -> R,
    ) -> Result<R> {
        let is_long_running = *self.is_long_running.lock();
        let mut workers = self.workers.lock();
        let worker = &mut workers[usize::from(address.address.port())];
        if worker.is_unreachable {
            return Err(PlatformError::NoAnswer {
                reason: "worker is unreachable".to_owned(),
            });
        }
        worker.finish_due_tasks(is_long_running);
        Ok(action(worker))
    }

    async fn hold(&self, request: HoldRequest) -> Result<HoldOutcome> {
        let sent = BootClock.now();
        let end = Instant::now() + request.wait;
        loop {
            let outcome = self.with_worker(&request.worker, |worker| {
                if request.fence < worker.fence {
                    return Some(HoldOutcome::Fenced);
                }
                worker.fence = request.fence;
                worker.ended.retain(|end| end.number > request.stored_end);
                let is_due = !worker.ended.is_empty() || Instant::now() >= end;
                is_due.then(|| HoldOutcome::Held(report(worker, sent)))
            })?;
            if let Some(outcome) = outcome {
                return Ok(outcome);
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn start(&self, request: &StartRequest) -> Result<StartOutcome> {
        let (task, run) = (request.order.task, request.order.run);
        self.with_worker(&request.worker, |worker| {
            if request.fence < worker.fence {
                return StartOutcome::Fenced;
            }
            worker.fence = request.fence;
            worker
                .running
                .insert((task, run), Instant::now() + RUN_TIME);
            self.starts.lock().push((task, run, request.fence));
            StartOutcome::Started
        })
    }

    fn stop(&self, request: &StopRequest) -> Result<bool> {
        self.with_worker(&request.worker, |worker| {
            if request.fence < worker.fence {
                return false;
            }
            if worker.running.contains_key(&(request.task, request.run)) {
                worker.end(request.task, request.run, EndKind::Stopped);
            }
            true
        })
    }
}

fn report(worker: &WorkerState, sent: sesamedeal_core::time::TimePoint) -> HoldReport {
    let running = worker.running.keys().map(|(task, run)| RunReport {
        task: *task,
        run: *run,
        saved: CompactString::default(),
        percent: 100.0,
        gauge: None,
    });
    HoldReport {
        sent,
        clock_ms: 1_000,
        boot: worker.boot,
        running: running.collect(),
        ended: worker.ended.clone(),
    }
}
