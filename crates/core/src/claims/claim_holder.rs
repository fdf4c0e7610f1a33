use super::{ClaimRecord, ClaimState, RecordedResponse};
use crate::code::ResultCode;

/// Result of a conditional write as far as the writer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done,
    /// The condition did not hold.
    Refused,
    /// No response came: the write may have taken effect or may still do so.
    Lost,
}

/// Write that a claimant asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWrite {
    /// Insert the row on the condition that it is absent.
    Insert(ClaimRecord),
    /// Replace the row on the condition that it still holds this claim.
    Replace(ClaimRecord),
    /// Delete the row on the condition that it still holds this claim.
    Delete,
}

/// What the claimant does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// The claim is in place: dispatch the request, once.
    Dispatch,
    /// Somebody else holds the row: read it and decide again.
    Reread,
    /// Answer the caller with the code; nothing was dispatched.
    Refuse(ResultCode),
    /// Perform the write; report its outcome with `record_write`.
    Write(ClaimWrite),
    /// Nothing remains to be done.
    Finished,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum HolderStage {
    Inserting,
    Dispatched,
    Ending(ClaimWrite),
    Ended,
}

/// Claimant's side of one claim, from the insert to the last write.
///
/// The request may be dispatched only after `record_insert` returned `ClaimStep::Dispatch`, which it
/// does at most once.
#[derive(Debug)]
pub struct ClaimHolder {
    record: ClaimRecord,
    stage: HolderStage,
}

impl ClaimHolder {
    /// Creates the claimant's side and the insert to perform.
    #[must_use]
    pub fn new(record: ClaimRecord) -> (Self, ClaimWrite) {
        let write = ClaimWrite::Insert(record.clone());
        let holder = Self {
            record,
            stage: HolderStage::Inserting,
        };
        (holder, write)
    }

    /// Takes note of the outcome of the insert.
    ///
    /// After a lost response the request is refused as not run and the claim is released in the
    /// background: call `release_step` until it returns `ClaimStep::Finished`.
    pub fn record_insert(&mut self, outcome: WriteOutcome) -> ClaimStep {
        if self.stage != HolderStage::Inserting {
            return ClaimStep::Finished;
        }
        match outcome {
            WriteOutcome::Done => {
                self.stage = HolderStage::Dispatched;
                ClaimStep::Dispatch
            }
            WriteOutcome::Refused => {
                self.stage = HolderStage::Ended;
                ClaimStep::Reread
            }
            WriteOutcome::Lost => {
                self.stage = HolderStage::Ending(ClaimWrite::Delete);
                ClaimStep::Refuse(ResultCode::ClaimUnavailable)
            }
        }
    }

    /// Takes note of the backend server's response.
    pub fn record_response(&mut self, response: RecordedResponse) -> ClaimStep {
        self.end(ClaimState::Finished { response })
    }

    /// Takes note that the request was sent and its outcome was lost.
    pub fn record_lost_outcome(&mut self) -> ClaimStep {
        self.end(ClaimState::Unknown)
    }

    /// Takes note that the request is proven not to have started and will not be dispatched.
    pub fn release(&mut self) -> ClaimStep {
        if self.stage != HolderStage::Dispatched {
            return ClaimStep::Finished;
        }
        self.stage = HolderStage::Ending(ClaimWrite::Delete);
        ClaimStep::Write(ClaimWrite::Delete)
    }

    fn end(&mut self, state: ClaimState) -> ClaimStep {
        if self.stage != HolderStage::Dispatched {
            return ClaimStep::Finished;
        }
        self.record.state = state;
        let write = ClaimWrite::Replace(self.record.clone());
        self.stage = HolderStage::Ending(write.clone());
        ClaimStep::Write(write)
    }

    /// Takes note of the outcome of the last write and returns the next one, if any.
    ///
    /// A lost write is repeated by the caller after a delay: it is conditional on the claim and
    /// therefore safe to repeat.
    pub fn record_write(&mut self, outcome: WriteOutcome) -> ClaimStep {
        match (&self.stage, outcome) {
            (HolderStage::Ending(write), WriteOutcome::Lost) => ClaimStep::Write(write.clone()),
            _ => {
                self.stage = HolderStage::Ended;
                ClaimStep::Finished
            }
        }
    }

    /// Next step of a release after a lost insert, from the row as read back.
    ///
    /// `is_insert_over` tells whether the insert can no longer take effect: its deadline at the
    /// table service has passed. Until then an absent row is not final.
    pub fn release_step(&mut self, row: Option<&ClaimRecord>, is_insert_over: bool) -> ClaimStep {
        let HolderStage::Ending(write) = &self.stage else {
            return ClaimStep::Finished;
        };
        match row {
            Some(row) if row.operation == self.record.operation => ClaimStep::Write(write.clone()),
            None if !is_insert_over => ClaimStep::Reread,
            _ => {
                self.stage = HolderStage::Ended;
                ClaimStep::Finished
            }
        }
    }
}
