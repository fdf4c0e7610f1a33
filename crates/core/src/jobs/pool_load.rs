/// Current load of a pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolLoad {
    /// Number of workers in the platform's list.
    pub workers: usize,
    /// Number of listed workers that accept new tasks.
    pub usable: usize,
    /// Number of listed workers in availability zones in which nothing more may start. They count for
    /// none of the amounts of CPU.
    pub evacuated: usize,
    /// Number of workers whose entries are too old, because of an outage, for a start to rely on their
    /// capacities.
    pub outdated: usize,
    /// Number of workers that are kept free for a waiting task.
    pub reserved: usize,
    /// CPU of the listed workers, in thousandths of a core.
    pub capacity: u64,
    /// CPU in use by long-running tasks, in thousandths of a core. Fillers do not count.
    pub long_running: u64,
    /// CPU in use by batch tasks, in thousandths of a core. Fillers do not count.
    pub batch: u64,
    /// CPU requested by waiting tasks, in thousandths of a core.
    pub waiting: u64,
    /// CPU that batch tasks will use after the forecast horizon of the dispatcher's policy if
    /// arrivals continue and none of them waits, in thousandths of a core.
    pub expected: u64,
    /// Number of long-running tasks that wait for any resource: CPU, memory or a worker without
    /// another task of their step.
    pub waiting_long_running: usize,
    /// Number of tasks that wait to be placed.
    pub waiting_tasks: usize,
}
