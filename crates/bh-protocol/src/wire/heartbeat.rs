//! The load and liveness that entries tell each other.

/// Sent by both ends of a peer link, so that a link that went silent is noticed by both.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Free slots over the targets this entry owns.
    #[prost(uint32, tag = "1")]
    pub free_slots: u32,
    /// Settings revision in force.
    #[prost(uint64, tag = "2")]
    pub settings_revision: u64,
    /// Whether the entry is shutting down and takes no forwarded work.
    #[prost(bool, tag = "3")]
    pub draining: bool,
    /// Milliseconds since the entry heard from the settings leader.
    #[prost(uint64, tag = "4")]
    pub settings_confirmed_ms: u64,
}
