//! Followers of the store's tables.

mod intent_follower;
mod table_follower;

pub(crate) use intent_follower::{IntentFollower, WaveList};
pub(crate) use table_follower::{TableEvent, TableFollower, read_table};
