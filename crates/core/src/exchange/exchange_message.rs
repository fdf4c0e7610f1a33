use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{HeardRecord, LoanOffer, LoanReport, LoanRequest, UsageSummary};
use crate::ids::{Generation, InstanceName, SessionId};

/// Version of the messages between entry instances.
pub const MESSAGE_VERSION: u16 = 2;

/// A worker that is known to be leaving.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// The worker.
    pub worker: InstanceName,
    /// Time since the worker was said to be leaving.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// One direction of the push-pull exchange between two entry instances.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// Message version; a receiver of another version refuses the message.
    pub version: u16,
    /// Session of the sender.
    pub from: SessionId,
    /// Generation that the sender acts under.
    pub applied: Generation,
    /// Age of the sender's newest evidence of the head, if it has any.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub evidence_age: Option<Duration>,
    /// Sessions that the sender heard from, directly or by relay.
    #[serde(default)]
    pub heard: Vec<HeardRecord>,
    /// Usage of the sender, and of other origins in answer to a list of versions.
    #[serde(default)]
    pub usage: Vec<UsageSummary>,
    /// Versions of the usage that the sender has, by origin. The answer has what is newer.
    #[serde(default)]
    pub listed: BTreeMap<u32, u64>,
    /// Units that the sender wants to borrow from the receiver.
    #[serde(default)]
    pub requests: Vec<LoanRequest>,
    /// Loans of the sender to the receiver that the receiver has not closed.
    #[serde(default)]
    pub loans: Vec<LoanOffer>,
    /// What the sender holds of the receiver's loans.
    #[serde(default)]
    pub report: LoanReport,
    /// Workers that are leaving.
    #[serde(default)]
    pub leaving: Vec<LeavingRecord>,
}

impl ExchangeMessage {
    /// Creates a message without content.
    #[must_use]
    pub fn new(from: SessionId, applied: Generation) -> Self {
        Self {
            version: MESSAGE_VERSION,
            from,
            applied,
            evidence_age: None,
            heard: Vec::new(),
            usage: Vec::new(),
            listed: BTreeMap::new(),
            requests: Vec::new(),
            loans: Vec::new(),
            report: LoanReport::default(),
            leaving: Vec::new(),
        }
    }
}
