/// Current load of a pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolLoad {
    /// Number of workers in the platform's list.
    pub workers: usize,
    /// Number of listed workers that accept new tasks.
    pub usable: usize,
    /// CPU of the listed workers, in thousandths of a core.
    pub capacity: u64,
    /// CPU in use by long-running tasks, in thousandths of a core. Fillers do not count.
    pub long_running: u64,
    /// CPU in use by batch tasks, in thousandths of a core. Fillers do not count.
    pub batch: u64,
    /// CPU requested by waiting tasks, in thousandths of a core.
    pub waiting: u64,
    /// Estimated work of waiting tasks, in core milliseconds.
    pub backlog: u64,
    /// Estimated work of the jobs that arrived within the last second, in core milliseconds.
    /// Arrivals at this rate keep as many thousandths of a core busy.
    pub arriving: u64,
    /// Arrival rate over a shorter window, extrapolated to one second.
    pub arriving_now: u64,
    /// Number of jobs that arrived within the last second.
    pub arrivals: usize,
    /// Number of long-running tasks that wait for any resource: CPU, memory or a worker without
    /// another task of their step.
    pub waiting_long_running: usize,
    /// Number of tasks that wait to be placed.
    pub waiting_tasks: usize,
}
