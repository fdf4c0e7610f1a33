//! Usable workers of a pool, sorted in the order in which [`choose_worker`] prefers them. With it, the
//! cost of a placement does not grow with the number of workers, and a task that fits on none of them
//! is recognised at once.
//!
//! An index lives for one planning round. During a round, the free capacities only become smaller,
//! apart from the starts of a gang that are undone before the next choice.
//!
//! [`choose_worker`]: crate::jobs::choose_worker

use std::collections::{BTreeSet, HashMap};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::jobs::worker_choice::{WORKER_CLASSES, free_fraction};
use crate::jobs::worker_entry::WorkerEntry;
use crate::jobs::{ResourceAmount, StepSpec, WorkerKey};
use crate::time::TimePoint;

/// Maximum number of amounts that are remembered as fitting nowhere. Bounds the time for comparing
/// with them when waiting tasks have many shapes.
const MAX_FAILED_AMOUNTS: usize = 32;

type WorkerTable = SlotMap<WorkerKey, WorkerEntry>;

/// Rank of a worker in the order of preference; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerRank {
    class: u8,
    /// Bits of the free fraction. Fractions are not negative, so that their bits sort as they do.
    free: u64,
    /// Position of the worker in the pool. Of equal workers the first one is chosen.
    position: usize,
}

/// Workers sorted for batch tasks or for long-running tasks.
#[derive(Debug)]
struct SortedWorkers {
    is_lasting: bool,
    /// Ranks by position.
    ranks: Vec<WorkerRank>,
    all: BTreeSet<WorkerRank>,
    /// Workers by each of their labels, once a step has asked for a label.
    by_label: Option<HashMap<CompactString, BTreeSet<WorkerRank>>>,
}

impl SortedWorkers {
    fn new(is_lasting: bool, keys: &[WorkerKey], workers: &WorkerTable, now: TimePoint) -> Self {
        let ranks = keys.iter().enumerate().map(|(position, key)| {
            let entry = &workers[*key];
            worker_rank(entry, position, is_lasting, now)
        });
        let ranks: Vec<WorkerRank> = ranks.collect();
        Self {
            is_lasting,
            all: ranks.iter().copied().collect(),
            ranks,
            by_label: None,
        }
    }

    fn index_labels(&mut self, keys: &[WorkerKey], workers: &WorkerTable) {
        let mut by_label: HashMap<CompactString, BTreeSet<WorkerRank>> = HashMap::new();
        for (rank, key) in self.ranks.iter().zip(keys) {
            for label in &workers[*key].report.labels {
                match by_label.get_mut(label) {
                    Some(ranks) => {
                        ranks.insert(*rank);
                    }
                    None => {
                        by_label.insert(label.clone(), BTreeSet::from([*rank]));
                    }
                }
            }
        }
        self.by_label = Some(by_label);
    }

    /// Sorts a worker in again after its free capacity has changed.
    fn update(&mut self, position: usize, entry: &WorkerEntry, now: TimePoint) {
        let new = worker_rank(entry, position, self.is_lasting, now);
        let old = std::mem::replace(&mut self.ranks[position], new);
        self.all.remove(&old);
        self.all.insert(new);
        for label in &entry.report.labels {
            let by_label = self.by_label.as_mut();
            if let Some(ranks) = by_label.and_then(|by_label| by_label.get_mut(label)) {
                ranks.remove(&old);
                ranks.insert(new);
            }
        }
    }

    /// Returns the workers with a label, or all without one; none if no worker has the label.
    fn with_label(&self, label: Option<&CompactString>) -> Option<&BTreeSet<WorkerRank>> {
        match label {
            Some(label) => self.by_label.as_ref()?.get(label),
            None => Some(&self.all),
        }
    }
}

/// Usable workers of a pool in a planning round.
#[derive(Debug)]
pub(super) struct WorkerIndex {
    keys: Vec<WorkerKey>,
    /// Largest free amount and largest capacity of each resource, once they are needed.
    bounds: Option<(ResourceAmount, ResourceAmount)>,
    /// Amounts that fit on no worker.
    failed: Vec<ResourceAmount>,
    batch: Option<SortedWorkers>,
    lasting: Option<SortedWorkers>,
}

impl WorkerIndex {
    /// Creates an index of `keys`. It is sorted when the first task may fit.
    pub(super) const fn new(keys: Vec<WorkerKey>) -> Self {
        Self {
            keys,
            bounds: None,
            failed: Vec::new(),
            batch: None,
            lasting: None,
        }
    }

    /// Workers of the pool, in the order of their keys.
    pub(super) fn keys(&self) -> &[WorkerKey] {
        &self.keys
    }

    /// Removes the workers for which `is_kept` is false.
    pub(super) fn retain(&mut self, is_kept: impl Fn(WorkerKey) -> bool) {
        let mut keys = std::mem::take(&mut self.keys);
        keys.retain(|key| is_kept(*key));
        *self = Self::new(keys);
    }

    /// Whether a task of this size is known to fit on no worker.
    pub(super) fn is_full(&mut self, amount: ResourceAmount, workers: &WorkerTable) -> bool {
        let (largest_room, _) = self.bounds(workers);
        !amount.fits(largest_room) || self.failed.iter().any(|failed| failed.fits(amount))
    }

    /// Returns the position and the key of the best worker on which a task fits and for which
    /// `accepts` is true, as [`choose_worker`](crate::jobs::choose_worker) does.
    pub(super) fn select(
        &mut self,
        spec: &StepSpec,
        workers: &WorkerTable,
        now: TimePoint,
        accepts: impl Fn(WorkerKey) -> bool,
    ) -> Option<(usize, WorkerKey)> {
        let amount = spec.worker_amount();
        if self.is_full(amount, workers) {
            return None;
        }
        let (_, capacity) = self.bounds(workers);
        let least_free = free_fraction(spec.is_lasting, amount, capacity).to_bits();
        let (keys, required) = (&self.keys, spec.required_label.as_ref());
        let sorted = if spec.is_lasting {
            &mut self.lasting
        } else {
            &mut self.batch
        };
        let sorted =
            sorted.get_or_insert_with(|| SortedWorkers::new(spec.is_lasting, keys, workers, now));
        let near = spec.data_rack.as_ref();
        if (required.is_some() || near.is_some()) && sorted.by_label.is_none() {
            sorted.index_labels(keys, workers);
        }
        let near = near.and_then(|rack| sorted.with_label(Some(rack)));
        let others = sorted.with_label(required);
        let mut has_room = false;
        for class in 0..WORKER_CLASSES {
            let rank = |class, free| WorkerRank {
                class,
                free,
                position: 0,
            };
            let range = rank(class, least_free)..rank(class + 1, 0);
            for ranks in [near, others].into_iter().flatten() {
                for &WorkerRank { position, .. } in ranks.range(range.clone()) {
                    let key = keys[position];
                    if !amount.fits(workers[key].room()) {
                        continue;
                    }
                    has_room = true;
                    if accepts(key) {
                        return Some((position, key));
                    }
                }
            }
        }
        if !has_room && required.is_none() && self.failed.len() < MAX_FAILED_AMOUNTS {
            self.failed.retain(|failed| !amount.fits(*failed));
            self.failed.push(amount);
        }
        None
    }

    /// Sorts the worker at `position` in again after a start.
    pub(super) fn update(&mut self, position: usize, workers: &WorkerTable, now: TimePoint) {
        let entry = &workers[self.keys[position]];
        for sorted in [&mut self.batch, &mut self.lasting].into_iter().flatten() {
            sorted.update(position, entry, now);
        }
    }

    /// Sorts a worker in again after a start.
    pub(super) fn update_key(&mut self, key: WorkerKey, workers: &WorkerTable, now: TimePoint) {
        let position = self.keys.iter().position(|other| *other == key);
        if let Some(position) = position {
            self.update(position, workers, now);
        }
    }

    fn bounds(&mut self, workers: &WorkerTable) -> (ResourceAmount, ResourceAmount) {
        let keys = &self.keys;
        *self.bounds.get_or_insert_with(|| {
            let none = (ResourceAmount::default(), ResourceAmount::default());
            keys.iter().fold(none, |(room, capacity), key| {
                let entry = &workers[*key];
                (
                    room.max_each(entry.room()),
                    capacity.max_each(entry.report.capacity),
                )
            })
        })
    }
}

fn worker_rank(
    entry: &WorkerEntry,
    position: usize,
    is_lasting: bool,
    now: TimePoint,
) -> WorkerRank {
    let offer = entry.offer(position, false, now);
    WorkerRank {
        class: offer.class(is_lasting),
        free: free_fraction(is_lasting, offer.room, offer.capacity).to_bits(),
        position,
    }
}
