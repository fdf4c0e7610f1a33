//! Golden file of a session in which the scheduler returns its refusals to callers.

mod scheduling;

use std::fmt::Write;
use std::time::Duration;

use scheduling::{at, drain, fleet, job, scheduler};
use sesamedeal_core::fleet::{ChangeRecord, FleetChange, FleetState};
use sesamedeal_core::ids::{KeyId, OperationId, PoolName};
use sesamedeal_core::scheduler::{
    AttemptKey, AttemptOutcome, FinishOutcome, JobRefusal, JobScheduler, JobSpec, SchedulerAction,
};
use sesamedeal_core::time::TimePoint;
use slotmap::SecondaryMap;

/// Scheduler session that logs its steps and results for the golden file.
struct Session {
    scheduler: JobScheduler,
    state: FleetState,
    now: u64,
    log: String,
    /// Numbers of the attempts, in order of dispatch.
    numbers: SecondaryMap<AttemptKey, usize>,
    attempts: Vec<AttemptKey>,
}

impl Session {
    fn start() -> Self {
        let state = fleet(2, &[("one", 3, 6), ("two", 1, 100)], 1);
        Self {
            scheduler: scheduler(&state),
            state,
            now: 0,
            log: String::new(),
            numbers: SecondaryMap::new(),
            attempts: Vec::new(),
        }
    }

    fn now(&self) -> TimePoint {
        at(self.now)
    }

    fn record(&mut self, text: &str) {
        writeln!(self.log, "{:>6} ms  {text}", self.now).unwrap();
    }

    fn wait(&mut self, millis: u64) {
        self.now += millis;
        self.drain();
    }

    fn submit(&mut self, what: &str, spec: JobSpec) {
        match self.scheduler.submit(spec, self.now()) {
            Ok(_) => self.record(&format!("{what}: queued")),
            Err(refusal) => self.record(&format!("{what}: {}", refusal_text(refusal))),
        }
        self.drain();
    }

    fn drain(&mut self) {
        let now = self.now();
        for action in drain(&mut self.scheduler, now) {
            match action {
                SchedulerAction::Dispatch(order) => {
                    let number = self.attempts.len();
                    self.numbers.insert(order.attempt, number);
                    self.attempts.push(order.attempt);
                    self.record(&format!("attempt {number} sent"));
                }
                SchedulerAction::Refuse { refusal, .. } => {
                    self.record(&format!("queued job: {}", refusal_text(refusal)));
                }
                SchedulerAction::Stop { attempt, .. } => {
                    let number = self.numbers[attempt];
                    self.record(&format!("attempt {number} is to stop"));
                }
                SchedulerAction::Exchange { .. } => {}
            }
        }
    }

    fn finish(&mut self, number: usize, outcome: AttemptOutcome) {
        let attempt = self.attempts[number];
        let result = match self.scheduler.finish(attempt, outcome, self.now()) {
            FinishOutcome::Answer => "answer passed on".to_owned(),
            FinishOutcome::Retry => "tried again".to_owned(),
            FinishOutcome::Refuse(refusal) => refusal_text(refusal),
        };
        self.record(&format!("attempt {number} {outcome:?}: {result}"));
        self.drain();
    }

    /// Submits a job and ends each of its attempts with `outcome` until there is no further retry.
    fn run(&mut self, what: &str, spec: JobSpec, outcome: AttemptOutcome) {
        let first = self.attempts.len();
        self.submit(what, spec);
        let mut number = first;
        while number < self.attempts.len() {
            self.finish(number, outcome);
            self.scheduler
                .confirm_end(self.attempts[number], self.now());
            number += 1;
        }
    }

    fn change(&mut self, change: FleetChange) {
        let record = ChangeRecord {
            generation: self.state.generation.next(),
            operation: OperationId(1),
            author: "operator".into(),
            changes: vec![change],
        };
        self.state.apply(&record).unwrap();
        let generation = self.state.generation;
        self.scheduler.apply(&self.state, generation, at(self.now));
        self.drain();
    }
}

fn refusal_text(refusal: JobRefusal) -> String {
    let state = refusal.code.run_state().as_str();
    match refusal.retry_after {
        Some(delay) => format!("{} ({state}), come back in {delay:?}", refusal.code),
        None => format!("{} ({state})", refusal.code),
    }
}

fn once(spec: JobSpec) -> JobSpec {
    JobSpec {
        idempotent: false,
        ..spec
    }
}

/// Guards against unintended changes of the responses that callers receive in these situations.
#[test]
fn every_refusal() {
    let mut session = Session::start();
    let now = session.now();
    session.run("good job", job("one", now), AttemptOutcome::Answered);
    let oversized = JobSpec {
        cores: 33,
        ..job("one", now)
    };
    session.submit("oversized job", oversized);
    let lost = once(job("one", now));
    session.run("lost non-idempotent job", lost, AttemptOutcome::Lost);
    let crossed = once(job("one", now));
    session.run("crossed answer", crossed, AttemptOutcome::BadAnswer);
    let unstarted = once(job("two", now));
    session.run(
        "job that no worker starts",
        unstarted,
        AttemptOutcome::NotStarted,
    );
    session.run(
        "job that fails everywhere",
        job("two", now),
        AttemptOutcome::Failed,
    );

    session.wait(1_000);
    let now = session.now();
    for number in 0..7 {
        session.submit(&format!("job {number} of a limit of 6"), job("one", now));
    }
    for _ in 0..10 {
        session.submit("job of another team", job("two", now));
    }
    let short_deadline = JobSpec {
        deadline: now.after(Duration::from_millis(50)),
        ..job("two", now)
    };
    session.submit("job in a hurry", short_deadline);
    session.wait(60);
    session.change(FleetChange::WithdrawKey {
        id: KeyId::new("key-one"),
    });
    session.submit("withdrawn key", job("one", session.now()));
    let now = session.now();
    session.scheduler.set_keyed_work_allowed(false, now);
    session.drain();
    session.submit("stale state", job("two", now));
    session.scheduler.set_keyed_work_allowed(true, now);
    let unknown = JobSpec {
        pool: PoolName::new("none"),
        ..job("two", now)
    };
    session.submit("unknown pool", unknown);
    session.submit("last job", job("two", now));
    session.scheduler.shut_down(now);
    session.drain();
    session.submit("after the shutdown began", job("two", now));
    insta::assert_snapshot!(session.log);
}
