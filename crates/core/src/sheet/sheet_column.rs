/// Header names of the columns of a sheet, in order.
pub const COLUMNS: [&str; 10] = [
    "at",
    "kind",
    "name",
    "pool",
    "size",
    "max_unavailable",
    "spare",
    "share",
    "limit",
    "open",
];

// Positions of the columns, counted from 0.
pub(super) const AT: usize = 0;
pub(super) const KIND: usize = 1;
pub(super) const NAME: usize = 2;
pub(super) const POOL: usize = 3;
pub(super) const SIZE: usize = 4;
pub(super) const MAX_UNAVAILABLE: usize = 5;
pub(super) const SPARE: usize = 6;
pub(super) const SHARE: usize = 7;
pub(super) const LIMIT: usize = 8;
pub(super) const OPEN: usize = 9;
