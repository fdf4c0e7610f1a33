use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::scheduler::AttemptKey;
use sesamedeal_core::time::TimePoint;

use super::caller_group::{CallerGroup, LoadLevel};
use super::entry_fleet::EntryFleet;
use super::first_come::FirstCome;
use super::share_fleet::ShareFleet;
use super::usage_record::UsageRecord;
use super::user_profile::ENTRY_INSTANCES;

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(5);

/// Mean run time of a task; run times are spread evenly from half of it to one and a half.
pub(super) const MEAN_RUN: Duration = Duration::from_millis(100);

/// Time from a caller's submission to its deadline.
const DEADLINE: Duration = Duration::from_secs(5);

/// What places the jobs.
#[derive(Debug)]
pub(super) enum PlacingMode {
    /// The entry instances' schedulers.
    Entries(EntryFleet),
    /// One queue per pool, without shares.
    FirstCome(FirstCome),
}

/// What becomes of a job.
#[derive(Debug, Clone, Copy)]
pub(super) enum JobFate {
    /// It runs now. First-come placing has no attempts.
    Started {
        entry: usize,
        attempt: Option<AttemptKey>,
    },
    /// It is refused.
    Refused {
        code: ResultCode,
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LoadEvent {
    TaskEnd {
        group: usize,
        entry: usize,
        attempt: Option<AttemptKey>,
    },
    CallerBack {
        group: usize,
    },
}

/// Closed-loop callers, what places their jobs, and a list of running tasks with their end times.
#[derive(Debug)]
pub(super) struct ShareSimulation {
    pub(super) now: TimePoint,
    pub(super) usage: Vec<UsageRecord>,
    /// Refusals by result code.
    pub(super) refusals: BTreeMap<u16, u64>,
    fleet: ShareFleet,
    groups: Vec<CallerGroup>,
    means: Vec<u32>,
    mode: PlacingMode,
    events: BinaryHeap<Reverse<(TimePoint, u64, LoadEvent)>>,
    event_count: u64,
    /// Jobs queued and tasks running, per pool and team.
    queued: Vec<Vec<u32>>,
    held: Vec<Vec<u32>>,
    rng: Pcg64Mcg,
}

impl ShareSimulation {
    pub(super) fn new(fleet: &ShareFleet, mode: PlacingMode, seed: u64) -> Self {
        let zeros = vec![vec![0; fleet.teams.len()]; fleet.pools.len()];
        Self {
            now: TimePoint::ORIGIN,
            usage: (0..fleet.pools.len())
                .map(|pool| UsageRecord::new(fleet.weights(pool)))
                .collect(),
            refusals: BTreeMap::new(),
            fleet: fleet.clone(),
            groups: Vec::new(),
            means: Vec::new(),
            mode,
            events: BinaryHeap::new(),
            event_count: 0,
            queued: zeros.clone(),
            held: zeros,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Adds callers of a team in a pool, all at one entry instance or spread over all of them.
    pub(super) fn add_callers(&mut self, team: usize, pool: usize, mean: u32, single: bool) {
        let entries = u32::try_from(ENTRY_INSTANCES).unwrap_or(1);
        for entry in 0..if single { 1 } else { entries } {
            let part = if single { mean } else { mean.div_ceil(entries) };
            self.means.push(part);
            self.groups.push(CallerGroup {
                team,
                pool,
                entry: entry as usize,
                callers: part,
                busy: 0,
            });
        }
    }

    /// Sets the number of callers in a pool.
    pub(super) fn set_level(&mut self, pool: usize, level: LoadLevel) {
        for (group, mean) in self.groups.iter_mut().zip(&self.means) {
            if group.pool == pool {
                group.callers = level.callers(*mean);
            }
        }
    }

    pub(super) fn run_until(&mut self, end: TimePoint) {
        while self.now < end {
            self.now = self.now.after(STEP);
            self.take_events();
            self.send_jobs();
            self.place_jobs();
            for (pool, usage) in self.usage.iter_mut().enumerate() {
                usage.add(self.now, STEP, &self.held[pool], &self.queued[pool]);
            }
        }
    }

    fn take_events(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if at > self.now {
                return;
            }
            self.events.pop();
            match event {
                LoadEvent::TaskEnd {
                    group,
                    entry,
                    attempt,
                } => {
                    let ended = &mut self.groups[group];
                    ended.busy -= 1;
                    self.held[ended.pool][ended.team] -= 1;
                    match (&mut self.mode, attempt) {
                        (PlacingMode::Entries(entries), Some(attempt)) => {
                            entries.finish(entry, attempt, self.now);
                        }
                        (PlacingMode::FirstCome(queues), _) => queues.finish(ended.pool),
                        (PlacingMode::Entries(_), None) => {}
                    }
                }
                LoadEvent::CallerBack { group } => self.groups[group].busy -= 1,
            }
        }
    }

    fn send_jobs(&mut self) {
        let deadline = self.now.after(DEADLINE);
        for number in 0..self.groups.len() {
            while self.groups[number].busy < self.groups[number].callers {
                let group = &mut self.groups[number];
                group.busy += 1;
                let fleet = &self.fleet;
                let refusal = match &mut self.mode {
                    PlacingMode::Entries(entries) => {
                        entries.submit(fleet, number, group, deadline, self.now)
                    }
                    PlacingMode::FirstCome(queues) => {
                        queues.submit(number, group.pool, deadline);
                        None
                    }
                };
                match refusal {
                    None => self.queued[group.pool][group.team] += 1,
                    Some((code, delay)) => self.refuse(number, code, delay),
                }
            }
        }
    }

    fn place_jobs(&mut self) {
        let fates = match &mut self.mode {
            PlacingMode::Entries(entries) => entries.act(self.now),
            PlacingMode::FirstCome(queues) => queues.act(self.now),
        };
        for (number, fate) in fates {
            let group = &self.groups[number];
            let (pool, team) = (group.pool, group.team);
            self.queued[pool][team] -= 1;
            match fate {
                JobFate::Started { entry, attempt } => {
                    self.held[pool][team] += 1;
                    let run = MEAN_RUN.mul_f64(self.rng.random_range(0.5..1.5));
                    let group = number;
                    let event = LoadEvent::TaskEnd {
                        group,
                        entry,
                        attempt,
                    };
                    self.push(self.now.after(run), event);
                }
                JobFate::Refused { code, retry_after } => self.refuse(number, code, retry_after),
            }
        }
    }

    /// Counts a refusal and lets the caller come back when it was told to.
    fn refuse(&mut self, group: usize, code: ResultCode, delay: Duration) {
        *self.refusals.entry(code.number()).or_default() += 1;
        self.push(self.now.after(delay), LoadEvent::CallerBack { group });
    }

    fn push(&mut self, at: TimePoint, event: LoadEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }
}
