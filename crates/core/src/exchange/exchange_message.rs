use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{Generation, SessionId};

/// Version of the messages between entry instances.
pub const MESSAGE_VERSION: u16 = 1;

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
}
