use std::time::Duration;

use compact_str::CompactString;

/// Settings of the platform client.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// IP address and port of the platform's service.
    pub address: CompactString,
    /// Time within which a call of the table service or the instance list ends, retries included.
    pub call_deadline: Duration,
    /// Time within which a call of the object store ends, retries included. Snapshots are large.
    pub object_deadline: Duration,
    /// Retries allowed beyond a tenth of the calls.
    pub retry_reserve: u32,
    /// Seed of the jitter. Clients need different seeds, so that they do not probe together.
    pub seed: u64,
}

impl PlatformSettings {
    /// Creates settings with the default deadlines and a random seed.
    #[must_use]
    pub fn new(address: impl AsRef<str>) -> Self {
        Self {
            address: address.as_ref().into(),
            call_deadline: Duration::from_secs(1),
            object_deadline: Duration::from_secs(5),
            retry_reserve: 10,
            seed: rand::random(),
        }
    }
}
