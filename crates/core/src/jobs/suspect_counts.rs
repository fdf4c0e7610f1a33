/// Numbers of tasks that are implicated in crashes of workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SuspectCounts {
    /// All of them.
    pub total: usize,
    /// Those whose crashes or planned start are not stored yet, so that they do not start.
    pub unstored: usize,
    /// Those that start alone on their worker.
    pub isolated: usize,
    /// Those with a worker on which they are about to start.
    pub planned: usize,
    /// Those that are not started again.
    pub exhausted: usize,
}
