//! Sheets: CSV files that declare the desired state of the fleet over a whole day.
//! `docs/sheet.md` describes the columns.

mod parsed_sheet;
mod row_parser;
mod sheet_change;
mod sheet_check;
mod sheet_column;
mod sheet_diff;
mod sheet_error;
mod sheet_plan;

pub use parsed_sheet::ParsedSheet;
pub use sheet_change::sheet_changes;
pub use sheet_check::check_sheet;
pub use sheet_column::COLUMNS;
pub use sheet_diff::{DiffEntry, MAX_REMOVED_PERCENT, SheetDiff, diff_sheet};
pub use sheet_error::{SheetError, SheetRefusal};
pub use sheet_plan::{PlannedWave, SheetPlan, plan_sheet};
