use serde::Serialize;

/// Roll-out of the sizes of one time of the day.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RowFigures {
    /// Minute of the day from which the sizes hold.
    pub minute: u16,
    /// Seconds from the time of the row until the last instance is active in its pool. `None`
    /// when the sizes were not reached.
    pub rollout_seconds: Option<f64>,
    /// Seconds by which the first move started ahead of the row.
    pub lead_seconds: f64,
    /// Seconds from the first move to the last.
    pub span_seconds: f64,
    /// Shortest span that the budgets allow, with the measured mean time of a move.
    pub bound_seconds: f64,
    /// Instances moved.
    pub taken_out: u32,
}

/// Measures of one day, in hours and seconds of virtual time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DayFigures {
    /// Number of moves.
    pub moves: u64,
    /// Instance-hours in the spare pool or moving.
    pub buffer_hours: f64,
    /// Instance-hours under maintenance.
    pub maintenance_hours: f64,
    /// Mean time for which a moving instance is out of service.
    pub move_seconds: f64,
    /// Longest time from a row until its last instance is active.
    pub rollout_seconds: Option<f64>,
    /// The times of the day at which sizes change.
    pub rows: Vec<RowFigures>,
    /// Instances maintained.
    pub maintained: usize,
    /// Seconds from the start of the maintenance wave to its end.
    pub wave_seconds: Option<f64>,
    /// Shortest wave that the budgets allow, with the measured mean time under maintenance.
    pub wave_bound_seconds: f64,
}
