//! At-most-once claims under lost responses, late writes and claimants that die at any step.

mod support;

use std::cell::Cell;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use sesamedeal_core::claims::{
    ClaimDecision, ClaimHolder, ClaimRecord, ClaimState, ClaimStep, ClaimWrite, RecordedResponse,
    ResponseBody, SessionPresence, WriteOutcome, decide_claim, request_fingerprint,
};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::ids::{OperationId, QueueName, SessionId};
use support::fuzz::run_machine;

const CLAIMANTS: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Fate {
    Done,
    /// It takes effect and its response is lost.
    LostAfter,
    /// It never takes effect.
    LostBefore,
    /// Its response is lost and it takes effect later, unless its condition fails then.
    Late,
}

#[derive(Debug, Clone, Copy)]
enum Backend {
    Answers,
    NotStarted,
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller sends the request to a claimant, which takes the other claimants for gone or not.
    Request(usize, Fate, bool),
    Backend(usize, Backend, Fate),
    Retry(usize, Fate),
    Deliver,
    Die(usize),
}

/// The oracle is the number of executions, counted where they happen.
#[derive(Debug, Clone)]
struct Oracle;

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let fate = prop_oneof![
            4 => Just(Fate::Done),
            1 => Just(Fate::LostAfter),
            1 => Just(Fate::LostBefore),
            1 => Just(Fate::Late),
        ];
        let backend = prop_oneof![
            Just(Backend::Answers),
            Just(Backend::NotStarted),
            Just(Backend::Lost)
        ];
        prop_oneof![
            6 => (0..CLAIMANTS, fate.clone(), any::<bool>())
                .prop_map(|(at, fate, gone)| Event::Request(at, fate, gone)),
            4 => (0..CLAIMANTS, backend, fate.clone())
                .prop_map(|(at, backend, fate)| Event::Backend(at, backend, fate)),
            4 => (0..CLAIMANTS, fate).prop_map(|(at, fate)| Event::Retry(at, fate)),
            2 => Just(Event::Deliver),
            1 => (0..CLAIMANTS).prop_map(Event::Die),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

#[derive(Default)]
struct Table {
    row: Option<ClaimRecord>,
    /// Writes that may still take effect, with the operation that they are conditional on.
    late: Vec<(OperationId, ClaimWrite)>,
}

impl Table {
    fn write(&mut self, own: OperationId, write: &ClaimWrite, fate: Fate) -> WriteOutcome {
        match fate {
            Fate::Done if self.perform(own, write) => WriteOutcome::Done,
            Fate::Done => WriteOutcome::Refused,
            Fate::LostAfter => {
                self.perform(own, write);
                WriteOutcome::Lost
            }
            Fate::LostBefore => WriteOutcome::Lost,
            Fate::Late => {
                self.late.push((own, write.clone()));
                WriteOutcome::Lost
            }
        }
    }

    fn perform(&mut self, own: OperationId, write: &ClaimWrite) -> bool {
        let holds = self.row.as_ref().is_some_and(|row| row.operation == own);
        match write {
            ClaimWrite::Insert(record) if self.row.is_none() => self.row = Some(record.clone()),
            ClaimWrite::Replace(record) if holds => self.row = Some(record.clone()),
            ClaimWrite::Delete if holds => self.row = None,
            _ => return false,
        }
        true
    }
}

struct Attempt {
    own: OperationId,
    holder: ClaimHolder,
    is_dispatched: bool,
    pending: Option<ClaimWrite>,
    is_releasing: bool,
}

#[derive(Default)]
struct Machine {
    table: Table,
    attempts: [Vec<Attempt>; CLAIMANTS],
    dead: [bool; CLAIMANTS],
    next: u128,
    executions: Vec<OperationId>,
}

thread_local! {
    static EXECUTED: Cell<u32> = const { Cell::new(0) };
    static REPLAYED: Cell<u32> = const { Cell::new(0) };
    static RELEASED: Cell<u32> = const { Cell::new(0) };
}

fn count(cell: &'static std::thread::LocalKey<Cell<u32>>) {
    cell.set(cell.get() + 1);
}

fn response(own: OperationId) -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: None,
        body: ResponseBody::Inline(own.0.to_be_bytes().to_vec()),
    }
}

impl Machine {
    fn request(&mut self, at: usize, fate: Fate, others_gone: bool) {
        let fingerprint = request_fingerprint(&QueueName::new("payments"), b"pay 5");
        let row = self.table.row.as_ref();
        let is_gone = others_gone && row.is_some_and(|row| row.session.0 != at as u64);
        let presence = if is_gone {
            SessionPresence::Gone
        } else {
            SessionPresence::Present
        };
        match decide_claim(row, &fingerprint, presence) {
            ClaimDecision::Respond(found) => {
                assert!(self.executions.iter().any(|&own| found == response(own)));
                count(&REPLAYED);
                return;
            }
            ClaimDecision::Claim => {}
            _ => return,
        }
        self.next += 1;
        let own = OperationId(self.next);
        let record = ClaimRecord::new(SessionId(at as u64), own, fingerprint, 0);
        let (mut holder, write) = ClaimHolder::new(record);
        let outcome = self.table.write(own, &write, fate);
        let step = holder.record_insert(outcome);
        if step == ClaimStep::Dispatch {
            self.executions.push(own);
            count(&EXECUTED);
        }
        let is_releasing = step == ClaimStep::Refuse(ResultCode::ClaimUnavailable);
        self.attempts[at].push(Attempt {
            own,
            holder,
            is_dispatched: step == ClaimStep::Dispatch,
            pending: None,
            is_releasing,
        });
    }

    fn backend(&mut self, at: usize, backend: Backend, fate: Fate) {
        let Some(attempt) = self.attempts[at].iter_mut().find(|one| one.is_dispatched) else {
            return;
        };
        attempt.is_dispatched = false;
        let step = match backend {
            Backend::Answers => attempt.holder.record_response(response(attempt.own)),
            Backend::Lost => attempt.holder.record_lost_outcome(),
            Backend::NotStarted => {
                self.executions.retain(|&own| own != attempt.own);
                attempt.holder.release()
            }
        };
        let ClaimStep::Write(write) = step else {
            panic!("{step:?}");
        };
        attempt.pending = Some(write);
        self.retry(at, fate);
    }

    fn retry(&mut self, at: usize, fate: Fate) {
        for attempt in &mut self.attempts[at] {
            if attempt.is_releasing {
                let own = attempt.own;
                let is_over =
                    !self.table.late.iter().any(|(late, write)| {
                        *late == own && matches!(write, ClaimWrite::Insert(_))
                    });
                match attempt
                    .holder
                    .release_step(self.table.row.as_ref(), is_over)
                {
                    ClaimStep::Write(write) => {
                        let outcome = self.table.write(own, &write, fate);
                        attempt.is_releasing =
                            matches!(attempt.holder.record_write(outcome), ClaimStep::Write(_));
                        count(&RELEASED);
                    }
                    ClaimStep::Reread => {}
                    _ => attempt.is_releasing = false,
                }
            } else if let Some(write) = attempt.pending.take() {
                let outcome = self.table.write(attempt.own, &write, fate);
                if let ClaimStep::Write(again) = attempt.holder.record_write(outcome) {
                    attempt.pending = Some(again);
                }
            }
        }
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self::default()
    }

    fn apply(mut state: Self, _: &Oracle, event: Event) -> Self {
        match event {
            Event::Request(at, fate, gone) if !state.dead[at] => state.request(at, fate, gone),
            Event::Backend(at, backend, fate) if !state.dead[at] => {
                state.backend(at, backend, fate);
            }
            Event::Retry(at, fate) if !state.dead[at] => state.retry(at, fate),
            Event::Deliver => {
                if let Some((own, write)) = state.table.late.pop() {
                    state.table.perform(own, &write);
                }
            }
            Event::Die(at) => {
                state.dead[at] = true;
                state.attempts[at].clear();
            }
            _ => {}
        }
        state
    }

    fn check_invariants(state: &Self, _: &Oracle) {
        assert!(
            state.executions.len() <= 1,
            "executed {:?}",
            state.executions
        );
        if let Some(row) = &state.table.row
            && !matches!(row.state, ClaimState::Claimed)
        {
            assert!(state.executions.contains(&row.operation));
        }
    }
}

/// Guards against a request that is executed twice, and a response that is not its own.
#[test]
fn executed_once() {
    run_machine::<Machine>(1_024, 40);
    let seen = [EXECUTED.get(), REPLAYED.get(), RELEASED.get()];
    println!("executed, replayed and released: {seen:?}");
    assert!(seen.iter().all(|&count| count > 50), "{seen:?}");
}
