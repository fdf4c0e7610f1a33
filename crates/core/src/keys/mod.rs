//! Team keys: generation, hashing and verification.

mod key_check;
mod key_secret;

pub use key_check::{KeyRefusal, check_key, recheck_key};
pub use key_secret::{KeySecret, PresentedKey, mint_key};
