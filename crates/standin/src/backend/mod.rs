//! Stand-in of a backend server.

mod backend_standin;
mod task_script;

pub use backend_standin::BackendStandin;
pub use task_script::TaskScript;
