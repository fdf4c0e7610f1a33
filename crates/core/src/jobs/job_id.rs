use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Number of digits in the textual form.
const DIGITS: usize = 16;

/// Identifier of a stored job, chosen by the caller. Its text form is 16 lower-case hexadecimal
/// digits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid = text.len() == DIGITS
            && text
                .bytes()
                .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if !is_valid {
            return Err("a job id has 16 lower-case hexadecimal digits");
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_error| "a job id is a hexadecimal number")
    }
}
