//! Headers and message encoding shared by sesamedeal's processes.

pub mod admin;
pub mod codec;
pub mod header;
pub mod message_size;
pub mod peer;
