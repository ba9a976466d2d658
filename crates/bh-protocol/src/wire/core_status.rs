//! Status that a core VM sends over its links.

/// Leadership and membership as one core knows them. A core is a VM that stores replicated state on its disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CoreStatus {
    /// Whether the sender leads and may answer calls.
    #[prost(bool, tag = "1")]
    pub leads: bool,
    /// The sender's current term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Version of the rules that the sender has applied; 0 before the first.
    #[prost(uint64, tag = "3")]
    pub rules_version: u64,
    /// Peer addresses of the cores that the sender knows; left out if they were sent on this link before.
    #[prost(string, repeated, tag = "4")]
    pub cores: Vec<String>,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// Address at which the sender accepts heartbeats; empty if it accepts none.
    #[prost(string, tag = "6")]
    pub control_address: String,
    /// Term of the leader that the sender has contact with; 0 if there is none or the sender leads itself.
    #[prost(uint64, tag = "7")]
    pub leader_term: u64,
    /// Time since that contact, in milliseconds; 0 if the sender leads itself.
    #[prost(uint64, tag = "8")]
    pub leader_contact_age_ms: u64,
}
