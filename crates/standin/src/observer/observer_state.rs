use std::collections::{HashMap, HashSet};
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::{FleetEvent, ViolationCounts};

/// Time within which leaving workers and withdrawn keys must be known everywhere.
const NOTICE_TIME: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct RunningTask {
    team: CompactString,
    slots: u32,
}

#[derive(Debug, Default)]
struct TeamState {
    /// Tasks, whatever their number of slots.
    running: u32,
    limit: Option<u32>,
    /// Announced limits with the times from which they hold, in order of announcement.
    coming: Vec<(Instant, u32)>,
    withdrawn: Option<Instant>,
}

#[derive(Debug, Default)]
struct WorkerState {
    /// Slots in use.
    running: u32,
    connections: usize,
    leaving: Option<Instant>,
    /// Pool of the last task.
    pool: Option<CompactString>,
}

#[derive(Debug, Default)]
pub(super) struct ObserverState {
    /// Running tasks by worker and attempt.
    tasks: HashMap<(CompactString, CompactString), RunningTask>,
    teams: HashMap<CompactString, TeamState>,
    workers: HashMap<CompactString, WorkerState>,
    keys: HashMap<CompactString, Instant>,
    budgets: HashMap<CompactString, u32>,
    /// Pools of the instances that are out of service.
    out: HashMap<CompactString, CompactString>,
    once: HashSet<CompactString>,
    started: u64,
    counts: ViolationCounts,
}

impl ObserverState {
    pub(super) fn record(&mut self, event: FleetEvent, now: Instant) {
        self.apply_limits(now);
        match event {
            FleetEvent::Started { .. } => self.start(event, now),
            FleetEvent::Ended { worker, attempt } => self.end(&(worker, attempt)),
            FleetEvent::RefusedFull { .. } => self.counts.over_slots += 1,
            FleetEvent::RefusedLeaving { worker } => {
                self.counts.refused_leaving += u64::from(self.is_long_leaving(&worker, now));
            }
            FleetEvent::ConnectionOpened { worker, limit } => {
                let worker = self.workers.entry(worker).or_default();
                worker.connections += 1;
                self.counts.over_connections += u64::from(worker.connections > limit);
            }
            FleetEvent::ConnectionClosed { worker } => {
                let worker = self.workers.entry(worker).or_default();
                worker.connections = worker.connections.saturating_sub(1);
            }
            FleetEvent::Leaving { worker } => {
                let worker = self.workers.entry(worker).or_default();
                worker.leaving.get_or_insert(now);
            }
            FleetEvent::Returned { worker } => {
                self.workers.entry(worker).or_default().leaving = None;
            }
            FleetEvent::Killed { worker } => self.kill(&worker),
            FleetEvent::TeamLimit { team, limit, in_ms } => {
                let at = now + Duration::from_millis(in_ms);
                let team = self.teams.entry(team).or_default();
                team.coming.push((at, limit));
                self.apply_limits(now);
            }
            FleetEvent::KeyWithdrawn { key } => {
                self.keys.entry(key).or_insert(now);
            }
            FleetEvent::TeamWithdrawn { team } => {
                let team = self.teams.entry(team).or_default();
                team.withdrawn.get_or_insert(now);
            }
            FleetEvent::PoolBudget { pool, budget } => {
                self.budgets.insert(pool, budget);
            }
            FleetEvent::OutOfService {
                worker,
                pool,
                planned,
            } => self.take_out(worker, pool, planned),
            FleetEvent::InService { worker } => {
                self.out.remove(&worker);
            }
        }
    }

    pub(super) fn violations(&mut self, now: Instant) -> ViolationCounts {
        self.apply_limits(now);
        self.counts
    }

    pub(super) const fn started(&self) -> u64 {
        self.started
    }

    pub(super) fn team_running(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(0, |team| team.running)
    }

    /// Puts announced limits into force that are due. Running totals change only with events, so
    /// the totals at the due time are the present ones.
    fn apply_limits(&mut self, now: Instant) {
        for team in self.teams.values_mut() {
            let (due, coming): (Vec<_>, Vec<_>) =
                team.coming.drain(..).partition(|(at, _)| *at <= now);
            team.coming = coming;
            for (_, limit) in due {
                team.limit = Some(limit);
                self.counts.over_limit += u64::from(team.running > limit);
            }
        }
    }

    fn start(&mut self, event: FleetEvent, now: Instant) {
        let FleetEvent::Started {
            worker,
            attempt,
            pool,
            team,
            key,
            once,
            slots,
            worker_slots,
        } = event
        else {
            return;
        };
        self.started += 1;
        self.counts.after_leaving += u64::from(self.is_long_leaving(&worker, now));
        if let Some(once) = once {
            self.counts.run_twice += u64::from(!self.once.insert(once));
        }
        let withdrawn = key.and_then(|key| self.keys.get(&key).copied());
        let state = self.workers.entry(worker.clone()).or_default();
        let others = state.running > 0 && state.pool.as_ref() != Some(&pool);
        self.counts.two_pools += u64::from(others);
        state.pool = Some(pool.clone());
        state.running += slots;
        self.counts.over_slots += u64::from(state.running > worker_slots);
        let state = self.teams.entry(team.clone()).or_default();
        state.running += 1;
        let over = state.limit.is_some_and(|limit| state.running > limit);
        self.counts.over_limit += u64::from(over);
        let late = |at: Instant| now > at + NOTICE_TIME;
        let late = withdrawn.is_some_and(late) || state.withdrawn.is_some_and(late);
        self.counts.after_withdrawal += u64::from(late);
        self.tasks
            .insert((worker, attempt), RunningTask { team, slots });
    }

    fn end(&mut self, key: &(CompactString, CompactString)) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&key.0) {
            worker.running -= task.slots;
        }
        if let Some(team) = self.teams.get_mut(&task.team) {
            team.running -= 1;
        }
    }

    fn kill(&mut self, worker: &CompactString) {
        let ended = self.tasks.keys().filter(|(of, _)| of == worker);
        let ended: Vec<_> = ended.cloned().collect();
        for key in &ended {
            self.end(key);
        }
    }

    fn is_long_leaving(&self, worker: &CompactString, now: Instant) -> bool {
        let worker = self.workers.get(worker);
        let leaving = worker.and_then(|worker| worker.leaving);
        leaving.is_some_and(|at| now > at + NOTICE_TIME)
    }

    fn take_out(&mut self, worker: CompactString, pool: Option<CompactString>, planned: bool) {
        let known = self
            .workers
            .get(&worker)
            .and_then(|worker| worker.pool.clone());
        let Some(pool) = pool.or(known) else {
            return;
        };
        let is_new = self.out.insert(worker, pool.clone()).is_none();
        let out = self.out.values().filter(|other| **other == pool).count();
        let budget = self.budgets.get(&pool).copied();
        let over = budget.is_some_and(|budget| out > budget as usize);
        self.counts.over_budget += u64::from(planned && is_new && over);
    }
}
