use std::str::FromStr;

use csv::StringRecord;

use super::SheetError;
use super::sheet_column::{
    AT, COLUMNS, KIND, LIMIT, MAX_UNAVAILABLE, NAME, OPEN, POOL, SHARE, SIZE, SPARE,
};
use crate::fleet::{ApplyLimits, PoolRecord, QueueRecord, SheetItem, SheetRow, TeamRecord};
use crate::ids::{PoolName, QueueName, TeamName, WaveName};

/// Largest share or limit of a team that a sheet accepts.
const MAX_COUNT: u32 = 1_000_000;

/// Content of one row: an item, or the end row with its row count.
#[derive(Debug)]
pub(super) enum ParsedRow {
    Item(SheetRow),
    End(u32),
}

/// Parses the fields of one row and collects all errors in it.
#[derive(Debug)]
pub(super) struct RowParser<'a> {
    record: &'a StringRecord,
    line: u64,
    errors: &'a mut Vec<SheetError>,
}

impl<'a> RowParser<'a> {
    pub(super) fn new(
        record: &'a StringRecord,
        line: u64,
        errors: &'a mut Vec<SheetError>,
    ) -> Self {
        Self {
            record,
            line,
            errors,
        }
    }

    /// Parses the row. Returns `None` if it has errors.
    pub(super) fn parse(mut self) -> Option<ParsedRow> {
        let error_count = self.errors.len();
        let row = match self.record.get(KIND).unwrap_or_default() {
            "pool" => self.parse_pool(),
            "team" => self.parse_team(),
            "queue" => self.parse_queue(),
            "maintenance" => self.parse_maintenance(),
            "end" => self.parse_end(),
            other => {
                let message =
                    format!("{other:?} is none of pool, team, queue, maintenance and end");
                self.report(KIND, message);
                None
            }
        };
        row.filter(|_| self.errors.len() == error_count)
    }

    fn parse_pool(&mut self) -> Option<ParsedRow> {
        self.expect_blank(&[POOL, SHARE, LIMIT, OPEN]);
        let minute = self.minute();
        let name = self.name(NAME).map(PoolName::new);
        let size = self.number(SIZE, 0, ApplyLimits::INSTANCES as u32);
        let max_unavailable = self.number(MAX_UNAVAILABLE, 1, ApplyLimits::INSTANCES as u32);
        let spare = self.flag(SPARE);
        let pool = PoolRecord {
            size: size?,
            max_unavailable: max_unavailable?,
            spare: spare?,
        };
        let name = name?;
        item_row(minute?, SheetItem::Pool { name, pool })
    }

    fn parse_team(&mut self) -> Option<ParsedRow> {
        self.expect_blank(&[POOL, SIZE, MAX_UNAVAILABLE, SPARE, OPEN]);
        let minute = self.minute();
        let name = self.name(NAME).map(TeamName::new);
        let share = self.number(SHARE, 1, MAX_COUNT);
        let limit = self.number(LIMIT, 0, MAX_COUNT);
        let team = TeamRecord {
            share: share?,
            limit: limit?,
        };
        let name = name?;
        item_row(minute?, SheetItem::Team { name, team })
    }

    fn parse_queue(&mut self) -> Option<ParsedRow> {
        self.expect_blank(&[SIZE, MAX_UNAVAILABLE, SPARE, SHARE, LIMIT]);
        let minute = self.minute();
        let name = self.name(NAME).map(QueueName::new);
        let pool = self.name(POOL).map(PoolName::new);
        let open = self.flag(OPEN);
        let queue = QueueRecord {
            pool: pool?,
            open: open?,
        };
        let name = name?;
        item_row(minute?, SheetItem::Queue { name, queue })
    }

    fn parse_maintenance(&mut self) -> Option<ParsedRow> {
        self.expect_blank(&[SIZE, MAX_UNAVAILABLE, SPARE, SHARE, LIMIT, OPEN]);
        let minute = self.minute();
        let name = self.name(NAME).map(WaveName::new);
        let pool = if self.field(POOL).is_empty() {
            None
        } else {
            Some(self.name(POOL).map(PoolName::new)?)
        };
        let name = name?;
        item_row(minute?, SheetItem::Maintenance { name, pool })
    }

    fn parse_end(&mut self) -> Option<ParsedRow> {
        self.expect_blank(&[AT, NAME, POOL, MAX_UNAVAILABLE, SPARE, SHARE, LIMIT, OPEN]);
        let count = self.number(SIZE, 0, u32::MAX)?;
        Some(ParsedRow::End(count))
    }

    fn field(&self, column: usize) -> &'a str {
        self.record.get(column).unwrap_or_default()
    }

    fn report(&mut self, column: usize, message: String) {
        self.errors.push(column_error(self.line, column, message));
    }

    fn expect_blank(&mut self, columns: &[usize]) {
        for &column in columns {
            if !self.field(column).is_empty() {
                let kind = self.field(KIND);
                self.report(column, format!("must be empty in a row of kind {kind}"));
            }
        }
    }

    fn minute(&mut self) -> Option<u16> {
        let text = self.field(AT);
        let minute = parse_minute(text);
        if minute.is_none() {
            self.report(
                AT,
                format!("{text:?} is not a time of day from 00:00 to 23:59"),
            );
        }
        minute
    }

    fn name(&mut self, column: usize) -> Option<&'a str> {
        let text = self.field(column);
        let is_valid = !text.is_empty()
            && text.len() <= ApplyLimits::NAME_BYTES
            && text
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if is_valid {
            return Some(text);
        }
        let message = format!("{text:?} is not a name of letters, digits, '-', '_' and '.'");
        self.report(column, message);
        None
    }

    fn number(&mut self, column: usize, min: u32, max: u32) -> Option<u32> {
        let text = self.field(column);
        let number = u32::from_str(text)
            .ok()
            .filter(|number| (min..=max).contains(number));
        if number.is_none() {
            self.report(
                column,
                format!("{text:?} is not a number from {min} to {max}"),
            );
        }
        number
    }

    fn flag(&mut self, column: usize) -> Option<bool> {
        match self.field(column) {
            "yes" => Some(true),
            "no" => Some(false),
            other => {
                self.report(column, format!("{other:?} is neither yes nor no"));
                None
            }
        }
    }
}

/// Creates an error for a column, given by its position from 0.
pub(super) fn column_error(line: u64, column: usize, message: String) -> SheetError {
    SheetError {
        line,
        column: column + 1,
        name: COLUMNS.get(column).copied().unwrap_or("surplus"),
        message,
    }
}

fn item_row(minute: u16, item: SheetItem) -> Option<ParsedRow> {
    Some(ParsedRow::Item(SheetRow { minute, item }))
}

fn parse_minute(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    if hours.len() != 2 || minutes.len() != 2 || !text.is_ascii() || text.contains('+') {
        return None;
    }
    let (hours, minutes) = (u16::from_str(hours).ok()?, u16::from_str(minutes).ok()?);
    (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
}
