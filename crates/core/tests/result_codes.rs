//! Consistency of the result codes and of the page that documents them.

use std::collections::BTreeSet;

use sesamedeal_core::code::ResultCode;

const PAGE: &str = include_str!("../../../docs/result-codes.md");

/// Expected table row of a code on the page.
fn row(code: ResultCode) -> String {
    format!(
        "| {} | `{}` | {} | {} | {} | {} |",
        code.number(),
        code.label(),
        code.run_state().as_str(),
        code.http_status(),
        if code.is_temporary() { "yes" } else { "no" },
        code.meaning()
    )
}

/// Guards against a page that differs from the source in any column, or has missing or extra codes.
#[test]
fn page_matches() {
    let expected: Vec<String> = ResultCode::ALL.iter().map(|&code| row(code)).collect();
    let found: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| 1"))
        .collect();
    assert_eq!(found, expected);
}

/// Guards against two codes that share a number or label, and codes from 1001 to 1019 with a run
/// state other than `not-run`.
#[test]
fn numbers_consistent() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let labels: BTreeSet<&str> = ResultCode::ALL.iter().map(|code| code.label()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    assert_eq!(labels.len(), ResultCode::ALL.len());
    for &code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(code));
        if (1_001..=1_019).contains(&code.number()) {
            assert_eq!(code.run_state().as_str(), "not-run", "{code}");
        }
    }
    assert_eq!(ResultCode::from_number(1_009), None);
}
