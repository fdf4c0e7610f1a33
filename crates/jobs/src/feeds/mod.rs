//! Followers, which read tables of the store and receive their changes.

mod answer_deadline;
mod feed_status;
mod follow_timing;
mod intent_follower;
mod table_follower;

pub(crate) use answer_deadline::AnswerDeadline;
pub use feed_status::{FeedPhase, FeedSnapshot, FeedStatus};
pub(crate) use follow_timing::FollowTiming;
pub(crate) use intent_follower::{EvacuationList, IntentFollower, WaveList};
pub(crate) use table_follower::{TableEvent, TableFollower, read_partition, read_table};
