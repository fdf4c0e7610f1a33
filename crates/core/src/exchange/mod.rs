//! Messages by which entry instances tell each other about usage, backlog and lent units.

mod exchange_message;

pub use exchange_message::{ExchangeMessage, MESSAGE_VERSION};
