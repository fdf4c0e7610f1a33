//! The commands, one file each.

mod dev;
mod submit;

pub(crate) use dev::dev;
pub(crate) use submit::submit;
