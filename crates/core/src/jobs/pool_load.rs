/// Load of a pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolLoad {
    /// Workers that are listed.
    pub workers: usize,
    /// Workers that may be given tasks.
    pub usable: usize,
    /// Processor of the listed workers, in thousandths of a core.
    pub capacity: u64,
    /// Processor in use by tasks that last, in thousandths of a core. Fillers do not count.
    pub long_running: u64,
    /// Processor in use by tasks that end, in thousandths of a core.
    pub batch: u64,
    /// Processor that waiting tasks ask for, in thousandths of a core.
    pub waiting: u64,
    /// Work of waiting tasks by their estimates, in core milliseconds.
    pub backlog: u64,
    /// Work of the jobs that came within the last second, in core milliseconds; as many thousandths
    /// of a core are busy with it if it goes on.
    pub arriving: u64,
    /// The same over a shorter time: what the work of the last moments comes to in a second.
    pub arriving_now: u64,
    /// Jobs that came within the last second.
    pub arrivals: usize,
    /// Tasks that last and wait for room, whatever they lack: processor, memory or a worker without
    /// another task of their step.
    pub waiting_long_running: usize,
    /// Tasks that wait for room.
    pub waiting_tasks: usize,
}
