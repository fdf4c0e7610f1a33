use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{HeardRecord, LoanOffer, LoanReport, LoanRequest, UsageSummary};
use crate::ids::{Generation, InstanceName, SessionId};

/// Version of the message format between entry instances.
pub const MESSAGE_VERSION: u16 = 2;

/// Worker that is leaving the fleet.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// The worker.
    pub worker: InstanceName,
    /// Time since the worker was reported as leaving.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// One direction of the push-pull exchange between two entry instances.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// Message version; a receiver with another version rejects the message.
    pub version: u16,
    /// Session of the sender.
    pub from: SessionId,
    /// Generation that the sender applies.
    pub applied: Generation,
    /// Age of the sender's newest evidence of the head, if it has any.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub evidence_age: Option<Duration>,
    /// Sender's latest contact with other sessions, directly or through relayed records.
    #[serde(default)]
    pub heard: Vec<HeardRecord>,
    /// Usage of the sender and, in response to a list of versions, of other origins.
    #[serde(default)]
    pub usage: Vec<UsageSummary>,
    /// Usage versions that the sender has, by origin. The response contains newer summaries.
    #[serde(default)]
    pub listed: BTreeMap<u32, u64>,
    /// Sender's requests for loans from the receiver.
    #[serde(default)]
    pub requests: Vec<LoanRequest>,
    /// Loans from the sender to the receiver that the receiver has not reported as closed.
    #[serde(default)]
    pub loans: Vec<LoanOffer>,
    /// Report on the receiver's loans that the sender holds.
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
