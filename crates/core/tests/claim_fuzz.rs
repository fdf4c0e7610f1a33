//! Randomized test of at-most-once claims: lost responses, late writes and crashed claimants.

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
enum WriteFault {
    None,
    /// The write takes effect and its response is lost.
    LostAfter,
    /// The write never takes effect and no response arrives.
    LostBefore,
    /// The response is lost. The write takes effect later, unless its condition fails by then.
    Late,
}

#[derive(Debug, Clone, Copy)]
enum BackendResult {
    Answered,
    NotStarted,
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// Request to a claimant, and whether the claimant considers the other claimants gone.
    Request(usize, WriteFault, bool),
    Backend(usize, BackendResult, WriteFault),
    Retry(usize, WriteFault),
    DeliverLate,
    Crash(usize),
}

/// Reference without a state of its own: the machine counts the executions itself.
#[derive(Debug, Clone)]
struct Oracle;

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let fault = prop_oneof![
            4 => Just(WriteFault::None),
            1 => Just(WriteFault::LostAfter),
            1 => Just(WriteFault::LostBefore),
            1 => Just(WriteFault::Late),
        ];
        let result = prop_oneof![
            Just(BackendResult::Answered),
            Just(BackendResult::NotStarted),
            Just(BackendResult::Lost)
        ];
        prop_oneof![
            6 => (0..CLAIMANTS, fault.clone(), any::<bool>())
                .prop_map(|(at, fault, gone)| Event::Request(at, fault, gone)),
            4 => (0..CLAIMANTS, result, fault.clone())
                .prop_map(|(at, result, fault)| Event::Backend(at, result, fault)),
            4 => (0..CLAIMANTS, fault).prop_map(|(at, fault)| Event::Retry(at, fault)),
            2 => Just(Event::DeliverLate),
            1 => (0..CLAIMANTS).prop_map(Event::Crash),
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
    /// Writes that may still take effect, each with the operation of the claim that it belongs to.
    late: Vec<(OperationId, ClaimWrite)>,
}

impl Table {
    fn write(&mut self, own: OperationId, write: &ClaimWrite, fault: WriteFault) -> WriteOutcome {
        match fault {
            WriteFault::None if self.perform(own, write) => WriteOutcome::Done,
            WriteFault::None => WriteOutcome::Refused,
            WriteFault::LostAfter => {
                self.perform(own, write);
                WriteOutcome::Lost
            }
            WriteFault::LostBefore => WriteOutcome::Lost,
            WriteFault::Late => {
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
    down: [bool; CLAIMANTS],
    last_operation: u128,
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
    fn request(&mut self, at: usize, fault: WriteFault, others_gone: bool) {
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
        self.last_operation += 1;
        let own = OperationId(self.last_operation);
        let record = ClaimRecord::new(SessionId(at as u64), own, fingerprint, 0);
        let (mut holder, write) = ClaimHolder::new(record);
        let outcome = self.table.write(own, &write, fault);
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

    fn backend(&mut self, at: usize, result: BackendResult, fault: WriteFault) {
        let Some(attempt) = self.attempts[at].iter_mut().find(|one| one.is_dispatched) else {
            return;
        };
        attempt.is_dispatched = false;
        let step = match result {
            BackendResult::Answered => attempt.holder.record_response(response(attempt.own)),
            BackendResult::Lost => attempt.holder.record_lost_outcome(),
            BackendResult::NotStarted => {
                self.executions.retain(|&own| own != attempt.own);
                attempt.holder.release()
            }
        };
        let ClaimStep::Write(write) = step else {
            panic!("{step:?}");
        };
        attempt.pending = Some(write);
        self.retry(at, fault);
    }

    fn retry(&mut self, at: usize, fault: WriteFault) {
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
                        let outcome = self.table.write(own, &write, fault);
                        attempt.is_releasing =
                            matches!(attempt.holder.record_write(outcome), ClaimStep::Write(_));
                        count(&RELEASED);
                    }
                    ClaimStep::Reread => {}
                    _ => attempt.is_releasing = false,
                }
            } else if let Some(write) = attempt.pending.take() {
                let outcome = self.table.write(attempt.own, &write, fault);
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
            Event::Request(at, fault, gone) if !state.down[at] => state.request(at, fault, gone),
            Event::Backend(at, result, fault) if !state.down[at] => {
                state.backend(at, result, fault);
            }
            Event::Retry(at, fault) if !state.down[at] => state.retry(at, fault),
            Event::DeliverLate => {
                if let Some((own, write)) = state.table.late.pop() {
                    state.table.perform(own, &write);
                }
            }
            Event::Crash(at) => {
                state.down[at] = true;
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

/// Guards against a request that is executed twice, and a replayed response of no execution.
#[test]
fn executed_once() {
    run_machine::<Machine>(1_024, 40);
    let seen = [EXECUTED.get(), REPLAYED.get(), RELEASED.get()];
    println!("executed, replayed and released: {seen:?}");
    assert!(seen.iter().all(|&count| count > 50), "{seen:?}");
}
