//! Session rows in the table service.

mod session_rows;
mod session_writer;

pub(crate) use session_rows::session_rows;
pub(crate) use session_writer::SessionWriter;
