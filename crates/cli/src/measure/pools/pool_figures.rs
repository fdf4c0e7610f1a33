use serde::Serialize;

/// Price of an instance in a pool for a second, as a fraction of the value of the work that it can
/// do in that time.
const INSTANCE_PRICE: f64 = 1.0 / 15.0;

/// Price of a move in seconds of an instance in a pool.
const MOVE_SECONDS: f64 = 1.14;

/// Fraction of the value of a job that ends within three times its objective.
const LATE_VALUE: f64 = 0.07;

/// What a simulated day cost and how well its jobs were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct PoolFigures {
    /// Fraction of the value of all jobs whose jobs ended within their objective.
    pub in_time: f64,
    /// Fraction of the value of all jobs whose jobs ended later, but within three times their
    /// objective.
    pub late: f64,
    /// Fraction of the time in which the long-running tasks were at work.
    pub long_running: f64,
    /// Mean number of instances in pools, those on the way to a pool included.
    pub instances: f64,
    /// Number of moves.
    pub moves: f64,
    /// Mean time that work waited for room, in seconds.
    pub wait_seconds: f64,
    /// Value of the jobs less the price of instances and moves, as a fraction of the value of all
    /// jobs.
    pub net: f64,
}

/// Sums over a simulated day.
#[derive(Debug, Default)]
pub(super) struct DayTotals {
    /// Value of all jobs, in core-seconds.
    pub owed: f64,
    pub in_time: f64,
    pub late: f64,
    pub long_running_at_work: f64,
    pub long_running: f64,
    pub instance_seconds: f64,
    pub moves: f64,
    /// Core-seconds of work times the seconds that it waited.
    pub waited: f64,
    /// Core-seconds of work.
    pub work: f64,
}

impl DayTotals {
    /// Returns the figures of a day of `seconds` on instances with `cores`.
    pub(super) fn figures(&self, seconds: f64, cores: f64) -> PoolFigures {
        let in_time = self.in_time / self.owed;
        let late = self.late / self.owed;
        let price = (self.instance_seconds + self.moves * MOVE_SECONDS) * cores * INSTANCE_PRICE;
        PoolFigures {
            in_time,
            late,
            long_running: self.long_running_at_work / self.long_running,
            instances: self.instance_seconds / seconds,
            moves: self.moves,
            wait_seconds: self.waited / self.work,
            net: in_time + late * LATE_VALUE - price / self.owed,
        }
    }
}
