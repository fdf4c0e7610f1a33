use super::{ClaimRecord, ClaimState, RecordedResponse};
use crate::code::ResultCode;

/// Result of a conditional write, as seen by the writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done,
    /// The condition did not hold.
    Refused,
    /// No response was received: the write may have taken effect or may still do so.
    Lost,
}

/// Conditional write that a claimant requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWrite {
    /// Insert the row if it is absent.
    Insert(ClaimRecord),
    /// Replace the row if it still contains this claim.
    Replace(ClaimRecord),
    /// Delete the row if it still contains this claim.
    Delete,
}

/// Next step of the claimant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// The claim is stored: dispatch the request, once.
    Dispatch,
    /// Read the row again: another claimant holds it, or a lost insert may still take effect.
    Reread,
    /// Respond to the caller with the code; nothing was dispatched.
    Refuse(ResultCode),
    /// Perform the write and report its outcome with `ClaimHolder::record_write`.
    Write(ClaimWrite),
    /// Nothing is left to do.
    Finished,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum HolderStage {
    Inserting,
    Dispatched,
    Ending(ClaimWrite),
    Ended,
}

/// State machine of a claimant for one claim, from the insert to the last write.
///
/// The request may be dispatched only after `record_insert` has returned `ClaimStep::Dispatch`,
/// which it does at most once.
#[derive(Debug)]
pub struct ClaimHolder {
    record: ClaimRecord,
    stage: HolderStage,
}

impl ClaimHolder {
    /// Creates the state machine and returns it with the insert to perform.
    #[must_use]
    pub fn new(record: ClaimRecord) -> (Self, ClaimWrite) {
        let write = ClaimWrite::Insert(record.clone());
        let holder = Self {
            record,
            stage: HolderStage::Inserting,
        };
        (holder, write)
    }

    /// Records the outcome of the insert.
    ///
    /// After a lost response, the request is refused as not run. The caller then releases the claim
    /// in the background by calling `release_step` until it returns `ClaimStep::Finished`.
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

    /// Records the backend server's response.
    pub fn record_response(&mut self, response: RecordedResponse) -> ClaimStep {
        self.end(ClaimState::Finished { response })
    }

    /// Records that the request was sent and its outcome was lost.
    pub fn record_lost_outcome(&mut self) -> ClaimStep {
        self.end(ClaimState::Unknown)
    }

    /// Releases the claim of a request that has provably not started and will not be dispatched.
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

    /// Records the outcome of the last write and returns the next one, if any.
    ///
    /// The caller repeats a lost write after a delay. This is safe because the write is conditional
    /// on the claim.
    pub fn record_write(&mut self, outcome: WriteOutcome) -> ClaimStep {
        match (&self.stage, outcome) {
            (HolderStage::Ending(write), WriteOutcome::Lost) => ClaimStep::Write(write.clone()),
            _ => {
                self.stage = HolderStage::Ended;
                ClaimStep::Finished
            }
        }
    }

    /// Next step of a release after a lost insert; `row` is the row as read back.
    ///
    /// `is_insert_over` is true once the insert can no longer take effect because its deadline at
    /// the table service has passed. Until then, an absent row may still appear.
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
