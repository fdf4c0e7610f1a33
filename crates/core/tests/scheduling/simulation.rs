use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::{Generation, SessionId};
use sesamedeal_core::scheduler::{
    AttemptKey, AttemptOutcome, FinishOutcome, JobScheduler, SchedulerAction, SchedulerPolicy,
};
use sesamedeal_core::time::TimePoint;

use super::job;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(5);

/// Closed-loop callers of one team at one scheduler: each sends its next job after an answer.
#[derive(Debug)]
struct CallerGroup {
    team: String,
    scheduler: usize,
    callers: usize,
    busy: usize,
}

#[derive(Debug)]
struct RunningTask {
    scheduler: usize,
    attempt: AttemptKey,
    group: usize,
    end: TimePoint,
}

/// Several schedulers with closed-loop callers and tasks of random run times.
#[derive(Debug)]
pub struct FleetSimulation {
    pub now: TimePoint,
    pub schedulers: Vec<JobScheduler>,
    pub state: FleetState,
    pub exchanges: usize,
    /// Total size of all messages in bytes.
    pub bytes: usize,
    pub refused: usize,
    groups: Vec<CallerGroup>,
    jobs: BTreeMap<(usize, sesamedeal_core::scheduler::JobKey), usize>,
    tasks: Vec<RunningTask>,
    slot_time: BTreeMap<String, f64>,
    rng: Pcg64Mcg,
    next_exchange: Vec<TimePoint>,
    turns: Vec<usize>,
    pub mean_run: Duration,
}

impl FleetSimulation {
    /// Starts one scheduler per session of the state's view.
    pub fn new(state: FleetState, seed: u64) -> Self {
        let count = state.view.sessions.len();
        let mut schedulers = Vec::new();
        for session in &state.view.sessions {
            let policy = SchedulerPolicy::new();
            let mut scheduler = JobScheduler::new(*session, policy, seed ^ session.0);
            scheduler.apply(&state, Generation(1), TimePoint::ORIGIN);
            schedulers.push(scheduler);
        }
        let offset = |number: usize| 500 * number as u64 / count as u64;
        Self {
            now: TimePoint::ORIGIN,
            schedulers,
            state,
            exchanges: 0,
            bytes: 0,
            refused: 0,
            groups: Vec::new(),
            jobs: BTreeMap::new(),
            tasks: Vec::new(),
            slot_time: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            next_exchange: (0..count)
                .map(|number| TimePoint::with_millis(offset(number)))
                .collect(),
            turns: (0..count).collect(),
            mean_run: Duration::from_millis(100),
        }
    }

    /// Sets the number of callers of a team at a scheduler.
    pub fn set_callers(&mut self, team: &str, scheduler: usize, callers: usize) {
        let known = self
            .groups
            .iter_mut()
            .find(|group| group.team == team && group.scheduler == scheduler);
        match known {
            Some(group) => group.callers = callers,
            None => self.groups.push(CallerGroup {
                team: team.to_owned(),
                scheduler,
                callers,
                busy: 0,
            }),
        }
    }

    /// Runs until `end` and returns the slot seconds of each team in that time.
    pub fn run_until(&mut self, end: TimePoint) -> BTreeMap<String, f64> {
        self.slot_time.clear();
        while self.now < end {
            self.now = self.now.after(STEP);
            self.end_tasks();
            self.send_jobs();
            self.act_all();
            self.exchange_in_turn();
            self.act_all();
            for task in &self.tasks {
                let team = self.groups[task.group].team.clone();
                *self.slot_time.entry(team).or_default() += STEP.as_secs_f64();
            }
        }
        self.slot_time.clone()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.tasks.len()
    }

    fn end_tasks(&mut self) {
        let now = self.now;
        let (ended, tasks) = std::mem::take(&mut self.tasks)
            .into_iter()
            .partition(|task: &RunningTask| task.end <= now);
        self.tasks = tasks;
        for task in ended {
            let scheduler = &mut self.schedulers[task.scheduler];
            let outcome = scheduler.finish(task.attempt, AttemptOutcome::Answered, now);
            assert_eq!(outcome, FinishOutcome::Answer);
            self.groups[task.group].busy -= 1;
        }
    }

    fn send_jobs(&mut self) {
        for (number, group) in self.groups.iter_mut().enumerate() {
            while group.busy < group.callers {
                let mut spec = job(&group.team, self.now);
                spec.run = self.mean_run;
                let scheduler = &mut self.schedulers[group.scheduler];
                match scheduler.submit(spec, self.now) {
                    Ok(key) => {
                        self.jobs.insert((group.scheduler, key), number);
                        group.busy += 1;
                    }
                    Err(_) => {
                        self.refused += 1;
                        break;
                    }
                }
            }
        }
    }

    fn exchange_in_turn(&mut self) {
        for number in 0..self.schedulers.len() {
            if self.now < self.next_exchange[number] {
                continue;
            }
            self.next_exchange[number] = self.now.after(Duration::from_millis(500));
            self.turns[number] = (self.turns[number] + 1) % self.schedulers.len();
            if self.turns[number] == number {
                self.turns[number] = (self.turns[number] + 1) % self.schedulers.len();
            }
            self.exchange(number, self.turns[number]);
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        if from == to {
            return;
        }
        self.exchanges += 1;
        let sessions = &self.state.view.sessions;
        let message = self.schedulers[from].exchange_with(sessions[to], self.now);
        self.schedulers[to].receive(&message, self.now);
        let answer = self.schedulers[to].exchange_with(sessions[from], self.now);
        self.schedulers[from].receive(&answer, self.now);
        for message in [message, answer] {
            self.bytes += rmp_serde::to_vec(&message).unwrap().len();
        }
    }

    fn act_all(&mut self) {
        for number in 0..self.schedulers.len() {
            self.act(number);
        }
    }

    fn act(&mut self, number: usize) {
        while let Some(action) = self.schedulers[number].next_action(self.now) {
            match action {
                SchedulerAction::Dispatch(order) => {
                    let group = self.jobs.remove(&(number, order.job)).unwrap();
                    let factor = self.rng.random_range(0.5..1.5);
                    self.tasks.push(RunningTask {
                        scheduler: number,
                        attempt: order.attempt,
                        group,
                        end: self.now.after(self.mean_run.mul_f64(factor)),
                    });
                }
                SchedulerAction::Refuse { job, .. } => {
                    let group = self.jobs.remove(&(number, job)).unwrap();
                    self.groups[group].busy -= 1;
                    self.refused += 1;
                }
                SchedulerAction::Exchange { peer } => {
                    let to = self.position(peer);
                    self.exchange(number, to);
                }
                SchedulerAction::Stop { .. } => {}
            }
        }
    }

    fn position(&self, session: SessionId) -> usize {
        let sessions = &self.state.view.sessions;
        sessions.iter().position(|other| *other == session).unwrap()
    }
}
