/// Bytes and calls of control since the start of an entry instance. Bytes are those of whole HTTP
/// messages with their heads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Bytes sent to peers, answers included.
    pub peer_sent: u64,
    /// Bytes received from peers, requests included.
    pub peer_received: u64,
    /// Bytes sent to the platform.
    pub store_sent: u64,
    /// Bytes received from the platform.
    pub store_received: u64,
    /// Reads and scans of the table service.
    pub store_reads: u64,
    /// Writes to the table service.
    pub store_writes: u64,
}
