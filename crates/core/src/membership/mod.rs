//! Sessions of entry instances: which sessions share the units, and the highest generation that no
//! running work of any session contradicts.

mod list_entry;
mod session_record;
mod session_tracker;

pub use list_entry::{EntryRole, ListState, ListedInstance};
pub use session_record::{SessionRecord, SessionState};
pub use session_tracker::{MembershipPolicy, SessionTracker, SettledReport};
