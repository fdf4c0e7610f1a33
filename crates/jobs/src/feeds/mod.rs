//! Followers of the store's tables.

mod follow_pace;
mod intent_follower;
mod table_follower;

pub(crate) use follow_pace::FollowPace;
pub(crate) use intent_follower::{IntentFollower, WaveList};
pub(crate) use table_follower::{TableEvent, TableFollower, read_table};
