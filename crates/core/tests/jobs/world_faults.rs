/// Faults of a run of the world, each as a share of the calls or rounds.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorldFaults {
    /// Starts that are done and not answered.
    pub lost_starts: f64,
    /// Writes to the store that are turned away.
    pub refused_writes: f64,
    /// Rounds in which a worker is cut off or comes back.
    pub cuts: f64,
    /// Rounds in which another owner takes over.
    pub takeovers: f64,
    /// Runs that fail.
    pub failures: f64,
    /// Rounds in which a worker is started again under its name.
    pub reboots: f64,
}
