//! The own session row in the table service.

mod session_writer;

pub(crate) use session_writer::SessionWriter;
