use std::fmt;

/// Values that a setting allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingKind {
    /// IP address and port.
    Address,
    /// List of at most 16 IP addresses and ports.
    Addresses,
    /// Text of 1 to 64 characters from `a-z`, `0-9`, `-`, `_` and `.`.
    Name,
    /// SHA-256 as 64 hexadecimal digits.
    Hash,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// Whole number within these bounds.
    Whole {
        /// Least value.
        min: i64,
        /// Greatest value.
        max: i64,
    },
}

impl fmt::Display for SettingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address => f.write_str("IP address and port"),
            Self::Addresses => f.write_str("at most 16 IP addresses and ports"),
            Self::Name => f.write_str("1 to 64 characters from a-z, 0-9, `-`, `_` and `.`"),
            Self::Hash => f.write_str("64 hexadecimal digits"),
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Whole { min, max } => write!(f, "whole number from {min} to {max}"),
        }
    }
}

/// What applies when the file does not name a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingDefault {
    /// The file has to name the setting.
    Required,
    /// The setting may be absent.
    Absent,
    /// This TOML value.
    Value(&'static str),
}

impl fmt::Display for SettingDefault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Required => f.write_str("required"),
            Self::Absent => f.write_str("none"),
            Self::Value(value) => f.write_str(value),
        }
    }
}

/// Description of one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingSpec {
    /// Key in the file.
    pub key: &'static str,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Values allowed.
    pub kind: SettingKind,
    /// What applies without the key.
    pub default: SettingDefault,
    /// What the setting does.
    pub meaning: &'static str,
}
