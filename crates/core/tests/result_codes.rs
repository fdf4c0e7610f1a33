//! The page of result codes against the code.

use std::collections::BTreeSet;

use sesamedeal_core::code::ResultCode;

const PAGE: &str = include_str!("../../../docs/result-codes.md");

/// Row of the page's table that describes a code.
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

/// Guards against a page that differs from the code in any column, lacks a code or has one more.
#[test]
fn page_matches() {
    let expected: Vec<String> = ResultCode::ALL.iter().map(|&code| row(code)).collect();
    let found: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| 1"))
        .collect();
    assert_eq!(found, expected);
}

/// Guards against two codes with one number or label, and numbers outside the range of their
/// run state.
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
