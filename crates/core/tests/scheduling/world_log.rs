use std::collections::BTreeSet;

use sesamedeal_core::fleet::{ChangeRecord, FleetChange, InstanceState};
use sesamedeal_core::ids::{Generation, OperationId, SessionId};
use sesamedeal_core::scheduler::{JobScheduler, SchedulerPolicy};
use sesamedeal_core::time::TimePoint;

use super::world::{UNLISTED_TIMEOUT, World, WorldNode, worker_name};

impl World {
    /// Starts an entry instance with a new session.
    pub fn start(&mut self) {
        let session = SessionId(self.nodes.len() as u64 + 1);
        let policy = SchedulerPolicy::new();
        self.nodes.push(WorldNode {
            session,
            scheduler: JobScheduler::new(session, policy, session.0),
            applied: 0,
            alive: true,
            paused: false,
            absent_since: None,
            jobs: BTreeSet::new(),
        });
        let node = self.nodes.len() - 1;
        self.apply_newest(node);
    }

    /// Appends a record to the change log, unless it is invalid.
    pub fn change(&mut self, change: FleetChange) {
        let mut state = self.states.last().unwrap().clone();
        let record = ChangeRecord {
            generation: state.generation.next(),
            operation: OperationId(1),
            author: "test".into(),
            changes: vec![change],
        };
        if state.apply(&record).is_ok() {
            self.states.push(state);
        }
    }

    /// Changes the state of a worker, unless the transition is invalid.
    pub fn set_worker(&mut self, worker: usize, state: InstanceState) {
        let name = worker_name(worker);
        self.change(FleetChange::SetInstanceState { name, state });
    }

    /// Applies the next generation at an entry instance.
    pub fn apply_next(&mut self, node: usize) {
        let next = (self.nodes[node].applied + 1).min(self.newest());
        self.apply(node, next);
    }

    /// Applies the newest generation at an entry instance and skips those before it.
    pub fn apply_newest(&mut self, node: usize) {
        self.apply(node, self.newest());
    }

    /// Applies the rest of the change log at all running entry instances.
    pub fn apply_all(&mut self) {
        for node in 0..self.nodes.len() {
            while self.runs(node) && self.nodes[node].applied < self.newest() {
                self.apply_next(node);
            }
            if self.runs(node) {
                self.apply_next(node);
            }
        }
    }

    /// Advances the settled generation in the same way as the controller.
    pub fn settle(&mut self) {
        let gone = |since: TimePoint| self.now.since(since) > UNLISTED_TIMEOUT;
        let bound = self
            .nodes
            .iter()
            .filter(|node| !node.absent_since.is_some_and(gone))
            .map(|node| node.scheduler.quiesced().0)
            .min()
            .unwrap_or(self.newest());
        self.settled = self.settled.max(bound);
        self.check_drained();
    }

    /// Kills an entry instance without a shutdown.
    pub fn kill(&mut self, node: usize) {
        let entry = &mut self.nodes[node];
        entry.alive = false;
        entry.absent_since.get_or_insert(self.now);
        entry.jobs.clear();
    }

    /// Pauses an entry instance. Unless `listed`, it also disappears from the platform's list.
    pub fn pause(&mut self, node: usize, listed: bool) {
        self.nodes[node].paused = true;
        if !listed && self.nodes[node].absent_since.is_none() {
            self.nodes[node].absent_since = Some(self.now);
        }
    }

    /// Resumes a paused entry instance.
    pub fn resume(&mut self, node: usize) {
        if self.nodes[node].alive && self.nodes[node].paused {
            let entry = &mut self.nodes[node];
            entry.paused = false;
            entry.absent_since = None;
            entry.scheduler.set_dispatch_allowed(false);
            self.act(node);
        }
    }

    fn apply(&mut self, node: usize, generation: u64) {
        let state = &self.states[usize::try_from(generation).unwrap()];
        let entry = &mut self.nodes[node];
        entry.applied = generation;
        let settled = Generation(self.settled);
        entry.scheduler.apply(state, settled, self.now);
        // After a pause, dispatches are forbidden until the newest state is applied.
        if generation == self.newest() {
            self.nodes[node].scheduler.set_dispatch_allowed(true);
        }
        self.act(node);
    }

    /// Checks that no task runs on a worker that a settled generation drains, moves or removes.
    fn check_drained(&self) {
        for task in self
            .tasks
            .iter()
            .filter(|task| task.slots > 0 && task.end > self.now)
        {
            for generation in task.generation + 1..=self.settled {
                let state = &self.states[usize::try_from(generation).unwrap()];
                let worker = state.instances.get(&task.worker);
                let stopped = worker.is_none_or(|worker| {
                    matches!(
                        worker.state,
                        InstanceState::Draining | InstanceState::Moving { .. }
                    )
                });
                assert!(
                    !stopped,
                    "a task on {} at settled {generation}",
                    task.worker
                );
            }
        }
    }
}
