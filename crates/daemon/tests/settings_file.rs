//! The settings file and its page in the documentation.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use assert_matches::assert_matches;
use sesamedeal_core::ids::ZoneName;
use sesamedeal_core::moves::PlanPolicy;
use sesamedeal_daemon::{DaemonError, DaemonSettings, SETTINGS, SettingDefault};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn load(text: &str) -> Result<DaemonSettings, DaemonError> {
    let file = tempfile::NamedTempFile::new().expect("temporary file");
    std::fs::write(file.path(), text).expect("written file");
    DaemonSettings::load(file.path())
}

const REQUIRED: &str = "listen = \"127.0.0.1:0\"\nzone = \"a\"\nplatform = \"127.0.0.1:9000\"\n";

/// Guards against reports that stop at the first error or do not name key, value and range.
#[test]
fn reports_all() {
    let text = "listen = \"here\"\nzone = \"a\"\nlist_lag_ms = 5\nshares = 1\n";
    let error = load(text).expect_err("four errors");
    assert_matches!(&error, DaemonError::InvalidSettings { problems, .. } if problems.len() == 4);
    let text = error.to_string();
    for part in [
        "listen = \"here\": allowed: IP address and port",
        "list_lag_ms = 5: allowed: whole number from 100 to 600000",
        "shares = 1: allowed: no such setting",
        "platform is absent: allowed: IP address and port",
    ] {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
}

/// Guards against values that are allowed one by one and contradict each other.
#[test]
fn contradiction_reported() {
    let error = load(&format!("{REQUIRED}head_period_ms = 3000\n")).expect_err("contradiction");
    let text = error.to_string();
    assert!(text.contains("head_period_ms = 3000: allowed: less than evidence_ms = 2500"));
}

/// Guards against defaults of the code that differ from the described ones.
#[test]
fn defaults_described() {
    let loaded = load(REQUIRED).expect("valid settings");
    let built = DaemonSettings::new(
        "127.0.0.1:0".parse::<SocketAddr>().expect("address"),
        ZoneName::new("a"),
        "127.0.0.1:9000".parse::<SocketAddr>().expect("address"),
    );
    let table = toml::Table::try_from(&loaded).expect("table");
    assert_eq!(toml::Table::try_from(&built).expect("table"), table);
    for spec in SETTINGS {
        let SettingDefault::Value(default) = spec.default else {
            continue;
        };
        assert_eq!(table[spec.key].to_string(), default, "{}", spec.key);
    }
    let known = |key: &str| SETTINGS.iter().any(|spec| spec.key == key);
    assert!(table.keys().all(|key| known(key)));
}

/// Guards against a page that names other settings, ranges or defaults than the code.
#[test]
fn page_matches() {
    let page = std::fs::read_to_string(root().join("docs/settings.md")).expect("page");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = SETTINGS
        .iter()
        .map(|spec| {
            let mut row = format!("| `{}` | {} | ", spec.key, spec.unit);
            write!(row, "{} | {} | ", spec.kind, spec.default).expect("text");
            row + spec.meaning + " |"
        })
        .collect();
    assert_eq!(rows, expected);
}

/// Guards against example files that the daemon refuses or that weigh plans in another way than
/// the planner's policies of the two users.
#[test]
fn examples_load() {
    let policies = [
        ("trust.toml", PlanPolicy::with_short_rollout()),
        ("consorcio.toml", PlanPolicy::with_low_share_deviation()),
    ];
    for (name, policy) in policies {
        let path = root().join("examples").join(name);
        let settings = DaemonSettings::load(&path).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(settings.plan_policy(), policy);
    }
}

/// Guards against described defaults that the ranges do not allow.
#[test]
fn defaults_allowed() {
    let mut text = REQUIRED.to_owned();
    for spec in SETTINGS {
        if let SettingDefault::Value(default) = spec.default {
            writeln!(text, "{} = {default}", spec.key).expect("text");
        }
    }
    load(&text).unwrap_or_else(|error| panic!("{error}"));
}
