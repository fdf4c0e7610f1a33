//! Expected times at which the workers of a rack have room, with the tasks that wait for it.

use std::time::Duration;

use super::{ResourceAmount, WorkerKey};

/// Worker of a rack and when its resources are expected to be freed. Times count from now.
#[derive(Debug, Clone)]
pub(crate) struct RackWorker {
    key: WorkerKey,
    capacity: ResourceAmount,
    /// Resources in use when the outlook was made.
    base: ResourceAmount,
    /// Resources in use at `ready`.
    used: ResourceAmount,
    /// Expected start of the last task that is booked on the worker.
    ready: Duration,
    /// Resources that are freed after `ready`, in ascending order of time.
    releases: Vec<(Duration, ResourceAmount)>,
}

impl RackWorker {
    /// Creates the entry of a worker. `releases` are the expected ends of its batch tasks, in
    /// ascending order.
    pub(crate) const fn new(
        key: WorkerKey,
        capacity: ResourceAmount,
        used: ResourceAmount,
        releases: Vec<(Duration, ResourceAmount)>,
    ) -> Self {
        Self {
            key,
            capacity,
            base: used,
            used,
            ready: Duration::ZERO,
            releases,
        }
    }

    /// Returns the expected time until there is room for `amount` beside the tasks that are booked,
    /// or `None` if there never is. `in_use` are the resources in use now, which include tasks that
    /// have started since the outlook was made.
    fn time_until(&self, amount: ResourceAmount, in_use: ResourceAmount) -> Option<Duration> {
        let mut needed = self.used;
        needed += in_use.without(self.base);
        needed += amount;
        if needed.fits(self.capacity) {
            return Some(self.ready);
        }
        let mut releases = self.releases.iter();
        let release = releases.find(|(_, freed)| {
            needed -= *freed;
            needed.fits(self.capacity)
        });
        release.map(|(time, _)| *time)
    }

    fn book(&mut self, amount: ResourceAmount, start: Duration, run_time: Duration) {
        let freed = self.releases.partition_point(|(time, _)| *time <= start);
        for (_, freed) in self.releases.drain(..freed) {
            self.used -= freed;
        }
        self.used += amount;
        self.ready = start;
        let end = start.saturating_add(run_time);
        let position = self.releases.partition_point(|(time, _)| *time <= end);
        self.releases.insert(position, (end, amount));
    }
}

/// Places on workers of a rack at which tasks are expected to start, the last one at the end.
#[derive(Debug, Clone, Default)]
pub(crate) struct RackPlace {
    /// Indexes of the workers and times until the starts.
    starts: Vec<(usize, Duration)>,
}

impl RackPlace {
    /// Time until the last start.
    pub(crate) fn start(&self) -> Duration {
        let times = self.starts.iter().map(|(_, start)| *start);
        times.max().unwrap_or_default()
    }
}

/// Workers of one rack.
#[derive(Debug, Clone, Default)]
pub(crate) struct RackOutlook {
    pub workers: Vec<RackWorker>,
}

impl RackOutlook {
    /// Returns the place at which a task is expected to start first, or `None` if no worker ever has
    /// room for it. `in_use` returns the resources of a worker that are in use now, or `None` if the
    /// task may not run there.
    pub(crate) fn find(
        &self,
        amount: ResourceAmount,
        in_use: impl Fn(WorkerKey) -> Option<ResourceAmount>,
    ) -> Option<RackPlace> {
        let workers = self.workers.iter().enumerate();
        let timed = workers.filter_map(|(index, worker)| {
            let start = worker.time_until(amount, in_use(worker.key)?)?;
            Some((start, index))
        });
        timed.min().map(|(start, index)| RackPlace {
            starts: vec![(index, start)],
        })
    }

    /// Returns the places of a gang of `count` tasks, of which none ends before all have started, or
    /// `None` if the rack never has room for all. `max` is the maximum number on one worker.
    pub(crate) fn find_gang(
        &self,
        amount: ResourceAmount,
        (count, max): (u16, u16),
        in_use: impl Fn(WorkerKey) -> Option<ResourceAmount>,
    ) -> Option<RackPlace> {
        let mut rest = self.clone();
        let mut booked = vec![0; self.workers.len()];
        let mut place = RackPlace::default();
        for _ in 0..count {
            let workers = rest.workers.iter().enumerate();
            let timed = workers.filter_map(|(index, worker)| {
                let start = worker.time_until(amount, in_use(worker.key)?)?;
                (booked[index] < max && start < Duration::MAX).then_some((start, index))
            });
            let (start, index) = timed.min()?;
            rest.workers[index].book(amount, start, Duration::MAX);
            booked[index] += 1;
            place.starts.push((index, start));
        }
        Some(place)
    }

    /// Books tasks of `run_time` each on their places.
    pub(crate) fn book(&mut self, place: RackPlace, amount: ResourceAmount, run_time: Duration) {
        for (index, start) in place.starts {
            self.workers[index].book(amount, start, run_time);
        }
    }
}
