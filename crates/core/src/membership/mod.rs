//! Sessions of entry instances: which of them share the units, and up to which generation all of
//! them have stopped what contradicts it.

mod list_entry;
mod session_record;
mod session_tracker;

pub use list_entry::{EntryRole, ListState, ListedInstance};
pub use session_record::{SessionRecord, SessionState};
pub use session_tracker::{MembershipPolicy, SessionTracker, SettledReport};
