use std::collections::{BTreeMap, BTreeSet};

use csv::{ReaderBuilder, StringRecord, Trim};

use super::row_parser::{ParsedRow, RowParser, column_error};
use super::sheet_column::{AT, COLUMNS, KIND, NAME, OPEN, POOL, SIZE, SPARE};
use super::{ParsedSheet, SheetError};
use crate::fleet::{ApplyLimits, OPEN_TEAM, SheetItem, SheetRow};

/// Parses and checks a whole sheet.
///
/// # Errors
///
/// Returns all errors, sorted by line and column.
pub fn check_sheet(text: &[u8]) -> Result<ParsedSheet, Vec<SheetError>> {
    let mut errors = Vec::new();
    let rows = read_rows(text, &mut errors);
    check_duplicates(&rows, &mut errors);
    check_references(&rows, &mut errors);
    check_spare(&rows, &mut errors);
    if rows.len() > ApplyLimits::SHEET_ROWS {
        let message = format!("more than {} rows", ApplyLimits::SHEET_ROWS);
        errors.push(column_error(1, AT, message));
    }
    if errors.is_empty() {
        Ok(ParsedSheet::new(
            rows.into_iter().map(|(_, row)| row).collect(),
        ))
    } else {
        errors.sort();
        errors.dedup();
        Err(errors)
    }
}

fn read_rows(text: &[u8], errors: &mut Vec<SheetError>) -> Vec<(u64, SheetRow)> {
    let mut reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(Trim::All)
        .from_reader(text);
    let mut rows = Vec::new();
    let mut row_count = 0;
    let mut end_line = None;
    let mut last_line = 1;
    for (index, record) in reader.records().enumerate() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                let line = error.position().map_or(last_line, csv::Position::line);
                errors.push(column_error(line, AT, "the row is not UTF-8 text".into()));
                last_line = line;
                row_count += 1;
                continue;
            }
        };
        let line = record.position().map_or(last_line, csv::Position::line);
        last_line = line;
        if !check_width(&record, line, errors) {
            row_count += 1;
            continue;
        }
        if index == 0 {
            check_header(&record, errors);
            continue;
        }
        if let Some(end) = end_line {
            let message = format!("row after the end row in line {end}");
            errors.push(column_error(line, KIND, message));
        }
        match RowParser::new(&record, line, errors).parse() {
            Some(ParsedRow::Item(row)) => {
                row_count += 1;
                rows.push((line, row));
            }
            Some(ParsedRow::End(count)) => {
                end_line = Some(line);
                if count != row_count {
                    let message = format!("the end row says {count} rows, found {row_count}");
                    errors.push(column_error(line, SIZE, message));
                }
            }
            None => row_count += 1,
        }
    }
    if end_line.is_none() {
        let message = "the end row is missing; the sheet may be truncated";
        errors.push(column_error(last_line, KIND, message.into()));
    }
    rows
}

fn check_width(record: &StringRecord, line: u64, errors: &mut Vec<SheetError>) -> bool {
    let width = record.len();
    if width == COLUMNS.len() {
        return true;
    }
    let message = format!("the row has {width} columns instead of {}", COLUMNS.len());
    errors.push(column_error(line, width.min(COLUMNS.len()), message));
    false
}

fn check_header(record: &StringRecord, errors: &mut Vec<SheetError>) {
    for (column, expected) in COLUMNS.iter().enumerate() {
        let found = record.get(column).unwrap_or_default();
        if found != *expected {
            let message = format!("the header is {found:?} instead of {expected:?}");
            errors.push(column_error(1, column, message));
        }
    }
}

fn check_duplicates(rows: &[(u64, SheetRow)], errors: &mut Vec<SheetError>) {
    let mut lines = BTreeMap::new();
    for (line, row) in rows {
        if let Some(first) = lines.insert((row.item.object(), row.minute), *line) {
            let (kind, name) = row.item.object();
            let message = format!("{kind} {name} has a row for this time in line {first}");
            errors.push(column_error(*line, AT, message));
        }
    }
}

fn check_references(rows: &[(u64, SheetRow)], errors: &mut Vec<SheetError>) {
    let pools: BTreeSet<&str> = rows
        .iter()
        .filter(|(_, row)| matches!(row.item, SheetItem::Pool { .. }))
        .map(|(_, row)| row.item.object().1)
        .collect();
    let has_open_team = rows
        .iter()
        .any(|(_, row)| row.item.object() == ("team", OPEN_TEAM));
    for (line, row) in rows {
        let pool = match &row.item {
            SheetItem::Queue { queue, .. } => Some(&queue.pool),
            SheetItem::Maintenance { pool, .. } => pool.as_ref(),
            _ => None,
        };
        if let Some(pool) = pool
            && !pools.contains(pool.as_str())
        {
            errors.push(column_error(
                *line,
                POOL,
                format!("no row sets pool {pool}"),
            ));
        }
        if let SheetItem::Queue { queue, .. } = &row.item
            && queue.open
            && !has_open_team
        {
            let message = format!("an open queue needs a row for team {OPEN_TEAM}");
            errors.push(column_error(*line, OPEN, message));
        }
    }
}

fn check_spare(rows: &[(u64, SheetRow)], errors: &mut Vec<SheetError>) {
    let mut spares: BTreeMap<&str, bool> = BTreeMap::new();
    let mut spare_pool = None;
    for (line, row) in rows {
        let SheetItem::Pool { name, pool } = &row.item else {
            continue;
        };
        if *spares.entry(name.as_str()).or_insert(pool.spare) != pool.spare {
            let message = "a pool is either the spare pool all day or not at all";
            errors.push(column_error(*line, SPARE, message.into()));
        }
        if pool.spare && *spare_pool.get_or_insert(name) != name {
            errors.push(column_error(
                *line,
                SPARE,
                "there is a second spare pool".into(),
            ));
        }
    }
    if spare_pool.is_none() {
        let line = rows.last().map_or(1, |(line, _)| *line);
        errors.push(column_error(line, NAME, "no pool is the spare pool".into()));
    }
}
