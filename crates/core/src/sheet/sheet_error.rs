use snafu::Snafu;

use crate::fleet::ApplyError;

/// Error in a sheet, at a line and column of its file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Snafu)]
#[snafu(display("line {line}, column {column} ({name}): {message}"))]
pub struct SheetError {
    /// Line, counted from 1.
    pub line: u64,
    /// Column, counted from 1.
    pub column: usize,
    /// Name of the column.
    pub name: &'static str,
    /// What is wrong.
    pub message: String,
}

/// Reason why a valid sheet is not put in force.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SheetRefusal {
    /// The sheet removes too much at once.
    #[snafu(display(
        "the sheet removes {removed} of {total} {what}; more than 20% needs --allow-removal"
    ))]
    Removal {
        /// Kind of the things removed.
        what: &'static str,
        /// Number removed.
        removed: usize,
        /// Number in force.
        total: usize,
    },
    /// The state does not accept the changes.
    #[snafu(display("the sheet cannot be applied: {source}"))]
    Apply {
        /// Reason.
        source: ApplyError,
    },
}
