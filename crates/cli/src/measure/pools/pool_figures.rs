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
    /// The same as `in_time` over the jobs that arrived in the two worst windows of 2 s.
    pub worst: f64,
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

/// Length of a window of arrivals, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// Number of the worst windows that count.
const WORST_WINDOWS: usize = 2;

/// Values of the jobs that arrived in a window, in core-seconds.
#[derive(Debug, Clone, Copy, Default)]
struct WindowTotals {
    owed: f64,
    in_time: f64,
}

/// Sums over a simulated day.
#[derive(Debug, Default)]
pub(super) struct DayTotals {
    /// Values of the jobs by the window of their arrival.
    windows: Vec<WindowTotals>,
    /// Value of the jobs that ended late, in core-seconds.
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
    /// Adds the value of a job that arrived at `arrives_ms`.
    pub(super) fn add_owed(&mut self, value: f64, arrives_ms: u64) {
        self.window(arrives_ms).owed += value;
    }

    /// Adds the value of a job that arrived at `arrives_ms` and ended within its objective.
    pub(super) fn add_in_time(&mut self, value: f64, arrives_ms: u64) {
        self.window(arrives_ms).in_time += value;
    }

    fn window(&mut self, arrives_ms: u64) -> &mut WindowTotals {
        let number = usize::try_from(arrives_ms / WINDOW_MS).unwrap_or(usize::MAX);
        if self.windows.len() <= number {
            self.windows.resize(number + 1, WindowTotals::default());
        }
        &mut self.windows[number]
    }

    /// Fraction of the value of the jobs in the worst windows whose jobs ended in time.
    fn worst(&self) -> f64 {
        let owed = self.windows.iter().filter(|window| window.owed > 0.0);
        let mut shares: Vec<f64> = owed.map(|window| window.in_time / window.owed).collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..WORST_WINDOWS.min(shares.len())];
        #[expect(clippy::cast_precision_loss, reason = "windows are few")]
        let count = worst.len().max(1) as f64;
        worst.iter().sum::<f64>() / count
    }

    /// Returns the figures of a day of `seconds` on instances with `cores`.
    pub(super) fn figures(&self, seconds: f64, cores: f64) -> PoolFigures {
        let owed: f64 = self.windows.iter().map(|window| window.owed).sum();
        let in_time: f64 = self.windows.iter().map(|window| window.in_time).sum();
        let (in_time, late) = (in_time / owed, self.late / owed);
        let price = (self.instance_seconds + self.moves * MOVE_SECONDS) * cores * INSTANCE_PRICE;
        PoolFigures {
            in_time,
            late,
            worst: self.worst(),
            long_running: self.long_running_at_work / self.long_running,
            instances: self.instance_seconds / seconds,
            moves: self.moves,
            wait_seconds: self.waited / self.work,
            net: in_time + late * LATE_VALUE - price / owed,
        }
    }
}
