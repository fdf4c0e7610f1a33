use std::fmt;
use std::net::SocketAddr;

use toml::{Table, Value};

use super::{SETTINGS, SettingDefault, SettingKind, SettingSpec};

/// Most addresses in one setting.
const MAX_ADDRESSES: usize = 16;

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingProblem {
    /// Key in the file.
    pub key: String,
    /// Value found; none if the key is absent.
    pub value: Option<String>,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for SettingProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{} = {value}: allowed: {}", self.key, self.allowed),
            None => write!(f, "{} is absent: allowed: {}", self.key, self.allowed),
        }
    }
}

/// Finds all errors of a settings table.
pub(super) fn check(table: &Table) -> Vec<SettingProblem> {
    let mut problems: Vec<SettingProblem> = Vec::new();
    for (key, value) in table {
        let allowed = match SETTINGS.iter().find(|spec| spec.key == key) {
            None => "no such setting; see docs/settings.md".to_owned(),
            Some(spec) if !is_allowed(spec.kind, value) => spec.kind.to_string(),
            Some(_) => continue,
        };
        problems.push(problem(key, Some(value), allowed));
    }
    for spec in SETTINGS {
        if spec.default == SettingDefault::Required && !table.contains_key(spec.key) {
            problems.push(problem(spec.key, None, spec.kind.to_string()));
        }
    }
    if problems.is_empty() {
        problems.extend(order_problems(table));
    }
    problems
}

fn problem(key: &str, value: Option<&Value>, allowed: String) -> SettingProblem {
    SettingProblem {
        key: key.to_owned(),
        value: value.map(ToString::to_string),
        allowed,
    }
}

fn is_allowed(kind: SettingKind, value: &Value) -> bool {
    let text = value.as_str();
    match kind {
        SettingKind::Address => is_address(value),
        SettingKind::Addresses => value
            .as_array()
            .is_some_and(|list| list.len() <= MAX_ADDRESSES && list.iter().all(is_address)),
        SettingKind::Name => text.is_some_and(is_name),
        SettingKind::Hash => text.is_some_and(|text| {
            text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
        }),
        SettingKind::Choice(words) => text.is_some_and(|text| words.contains(&text)),
        SettingKind::Whole { min, max } => value
            .as_integer()
            .is_some_and(|number| (min..=max).contains(&number)),
    }
}

fn is_address(value: &Value) -> bool {
    let text = value.as_str();
    text.is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    (1..=64).contains(&text.len()) && text.bytes().all(allowed)
}

/// Pairs of which the first has to be below the second for the protocols to work.
const ASCENDING: &[(&str, &str, &str)] = &[
    (
        "heartbeat_ms",
        "idle_heartbeat_ms",
        "an idle session is written less often than a busy one",
    ),
    (
        "head_period_ms",
        "evidence_ms",
        "evidence has to outlive the time between two reads",
    ),
    (
        "controller_period_ms",
        "controller_takeover_ms",
        "the holder has to renew before others take over",
    ),
];

fn order_problems(table: &Table) -> Vec<SettingProblem> {
    let number = |key: &str| {
        let found = table.get(key).and_then(Value::as_integer);
        found.or_else(|| default_of(key)).unwrap_or_default()
    };
    ASCENDING
        .iter()
        .filter(|(low, high, _)| number(low) >= number(high))
        .map(|(low, high, reason)| SettingProblem {
            key: (*low).to_owned(),
            value: Some(number(low).to_string()),
            allowed: format!("less than {high} = {}, because {reason}", number(high)),
        })
        .collect()
}

fn default_of(key: &str) -> Option<i64> {
    let spec: &SettingSpec = SETTINGS.iter().find(|spec| spec.key == key)?;
    match spec.default {
        SettingDefault::Value(value) => value.parse().ok(),
        SettingDefault::Required | SettingDefault::Absent => None,
    }
}
