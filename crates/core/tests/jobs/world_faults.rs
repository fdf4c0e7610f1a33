/// Rates of injected faults, each as a share of the calls or rounds.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorldFaults {
    /// Starts that take effect but have no answer.
    pub lost_starts: f64,
    /// Writes that the store refuses.
    pub refused_writes: f64,
    /// Rounds in which a worker becomes unreachable or reachable again.
    pub disconnects: f64,
    /// Rounds in which a new owner takes over.
    pub takeovers: f64,
    /// Runs that fail.
    pub failures: f64,
    /// Rounds in which a worker restarts under the same name.
    pub reboots: f64,
    /// Share of the restarts that the list shows late.
    pub late_entries: f64,
    /// Rounds in which a worker crashes. It returns after some seconds.
    pub crashes: f64,
    /// Share of the crashed workers that return under their old name.
    pub kept_names: f64,
}
