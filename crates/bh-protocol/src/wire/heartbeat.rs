//! Heartbeat between entries, with their load.

/// Sent by both ends of a peer link, so that both detect a link that no longer delivers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Free slots of all targets that the entry owns.
    #[prost(uint32, tag = "1")]
    pub free_slots: u32,
    /// Settings revision in force.
    #[prost(uint64, tag = "2")]
    pub settings_revision: u64,
    /// Whether the entry is shutting down and accepts no forwarded work.
    #[prost(bool, tag = "3")]
    pub draining: bool,
    /// Time since the entry's last contact to the settings leader in milliseconds.
    #[prost(uint64, tag = "4")]
    pub settings_confirmed_ms: u64,
}
