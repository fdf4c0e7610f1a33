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
    /// Description of the error.
    pub message: String,
}

/// Reason why a valid sheet is not applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SheetRefusal {
    /// The sheet removes too large a share of the pools, teams or queues.
    #[snafu(display(
        "the sheet removes {removed} of {total} {what}; more than 20% needs --allow-removal"
    ))]
    Removal {
        /// Kind of the removed objects, in the plural.
        what: &'static str,
        /// Number of removed objects.
        removed: usize,
        /// Number of objects of this kind in the state, without closing pools.
        total: usize,
    },
    /// The changes are invalid for the state.
    #[snafu(display("the sheet cannot be applied: {source}"))]
    Apply {
        /// Reason given by the state.
        source: ApplyError,
    },
}
