//! Sheets: errors, differences from the state and the limit on removals.

mod support;

use assert_matches::assert_matches;
use sesamedeal_core::fleet::{ChangeRecord, DayTime, FleetState};
use sesamedeal_core::ids::{Generation, OperationId, PoolName};
use sesamedeal_core::moves::PlanPolicy;
use sesamedeal_core::sheet::{
    ParsedSheet, SheetRefusal, check_sheet, diff_sheet, plan_sheet, sheet_changes,
};

const TRUST: &str = include_str!("../../../examples/trust.csv");
const CONSORCIO: &str = include_str!("../../../examples/consorcio.csv");
const HEADER: &str = "at,kind,name,pool,size,max_unavailable,spare,share,limit,open";

fn errors(rows: &str) -> Vec<String> {
    check_sheet(format!("{HEADER}\n{rows}").as_bytes())
        .unwrap_err()
        .iter()
        .map(ToString::to_string)
        .collect()
}

fn apply_sheet(state: &mut FleetState, sheet: &ParsedSheet, now: DayTime) {
    let record = ChangeRecord {
        generation: state.generation.next(),
        operation: OperationId(1),
        author: "test".into(),
        changes: sheet_changes(state, sheet, now),
    };
    state.apply(&record).unwrap();
}

/// Guards against examples that fail the check or differ from the designed pool sizes.
#[test]
fn examples_valid() {
    for text in [TRUST, CONSORCIO] {
        let sheet = check_sheet(text.as_bytes()).unwrap();
        let mut state = FleetState::default();
        apply_sheet(&mut state, &sheet, DayTime::new(100, 0));
        assert_eq!(state.generation, Generation(1));
        assert_eq!((state.pools.len(), state.teams.len()), (5, 6));
        for minute in [0, 600, 900, 1_200] {
            apply_sheet(&mut state, &sheet, DayTime::new(100, minute * 60));
            let total: u32 = state.pools.values().map(|pool| pool.size).sum();
            assert_eq!(total, 50, "at {minute}");
            assert!(diff_sheet(&state, &sheet, DayTime::new(100, minute * 60)).is_empty());
        }
    }
}

/// Guards against a check that stops at the first error or reports a wrong line or column.
#[test]
fn all_errors() {
    let found = errors(
        "25:00,pool,a b,,x,0,maybe,,,\n\
         00:00,queue,q,nowhere,,,,,,yes\n\
         00:00,team,t,,5,,,0,9,\n\
         00:00,pool,s,,1,1,yes,,,\n\
         00:00,pool,s,,1,1,yes,,,\n\
         00:00,what,s,,1,1,yes,,,\n\
         00:00,pool\n\
         ,end,,,9,,,,,\n",
    );
    let places: Vec<&str> = found
        .iter()
        .map(|error| error.split(" (").next().unwrap())
        .collect();
    assert_eq!(
        places,
        [
            "line 2, column 1",
            "line 2, column 3",
            "line 2, column 5",
            "line 2, column 6",
            "line 2, column 7",
            "line 3, column 4",
            "line 3, column 10",
            "line 4, column 5",
            "line 4, column 8",
            "line 6, column 1",
            "line 7, column 2",
            "line 8, column 3",
            "line 9, column 5",
        ]
    );
}

/// Guards against a truncated file that passes the check, so that its missing rows count as
/// removals. Truncates the example at every byte.
#[test]
fn truncation_detected() {
    let whole = TRUST.trim_end();
    for cut in 0..whole.len() {
        let result = check_sheet(&whole.as_bytes()[..cut]);
        assert_matches!(result, Err(_), "cut at {cut}");
    }
    check_sheet(whole.as_bytes()).unwrap();
}

/// Guards against invalid input that makes the check panic.
#[test]
fn bytes_rejected() {
    for text in [
        &b"\xff\xfe\x00"[..],
        b"",
        b"\n\n",
        b"\"",
        b"at,kind\n\xff,,\n",
    ] {
        assert_matches!(check_sheet(text), Err(errors) if !errors.is_empty());
    }
}

/// Guards against a sheet that removes a large part of the fleet by omission without confirmation.
#[test]
fn removal_guard() {
    let trust = check_sheet(TRUST.as_bytes()).unwrap();
    let consorcio = check_sheet(CONSORCIO.as_bytes()).unwrap();
    let now = DayTime::new(100, 0);
    let mut state = FleetState::default();
    apply_sheet(&mut state, &trust, now);
    let policy = PlanPolicy::default();
    assert_matches!(
        plan_sheet(&state, &consorcio, now, &policy, false),
        Err(SheetRefusal::Removal {
            what: "pools",
            removed: 4,
            total: 5
        })
    );
    let plan = plan_sheet(&state, &consorcio, now, &policy, true).unwrap();
    assert_eq!(plan.diff.removed.len(), 4 + 5 + 6);
    // One of six teams is less than a fifth.
    let fewer = TRUST
        .lines()
        .filter(|line| !line.contains("arima"))
        .map(|line| line.replace("end,,,28", "end,,,27"))
        .collect::<Vec<_>>()
        .join("\n");
    let fewer = check_sheet(fewer.as_bytes()).unwrap();
    let plan = plan_sheet(&state, &fewer, now, &policy, false).unwrap();
    assert_eq!(plan.diff.removed.len(), 1);
    assert_eq!(plan.diff.removed[0].to_string(), "team arima");
}

/// Guards against rows that are lost or applied twice around midnight.
#[test]
fn rows_due() {
    let sheet = check_sheet(TRUST.as_bytes()).unwrap();
    let mut state = FleetState::default();
    apply_sheet(&mut state, &sheet, DayTime::new(100, 7 * 3_600));
    let attendance = PoolName::new("attendance");
    assert_eq!(state.pools[&attendance].size, 14);
    let mut record = state.sheet.clone().unwrap();
    let due = |record: &sesamedeal_core::fleet::SheetRecord, day, hour: u32| -> Vec<String> {
        record
            .items_due(DayTime::new(day, hour * 3_600))
            .iter()
            .map(|item| item.object().1.to_owned())
            .collect()
    };
    assert!(due(&record, 100, 7).is_empty());
    assert!(due(&record, 100, 9).is_empty());
    assert_eq!(due(&record, 100, 10), ["attendance", "rotas"]);
    record.applied = DayTime::new(100, 23 * 3_600);
    assert_eq!(
        due(&record, 101, 1),
        ["attendance", "payroll", "rotas", "scarborough"]
    );
    assert_eq!(due(&record, 101, 2).last().unwrap(), "night");
}
