//! Orders to workers that one core relays for the leader, and heartbeats of workers relayed to the leader.

/// A header of an HTTP request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// An order of the leader that another core, the carrier, sends to the worker.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CarryRequest {
    /// Term of the leader. The carrier refuses an order if it knows a later term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// When the order was sent, by the leader's clock in milliseconds. The carrier refuses an order that was delayed on its way.
    #[prost(uint64, tag = "2")]
    pub sent_ms: u64,
    /// Longest time to wait for the worker's answer, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub limit_ms: u64,
    /// Address of the worker.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Method of the HTTP request.
    #[prost(string, tag = "5")]
    pub method: String,
    /// Path of the HTTP request.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Headers of the HTTP request.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// Body of the HTTP request.
    #[prost(bytes = "vec", tag = "8")]
    pub body: Vec<u8>,
}

/// Outcome of an order that a carrier was asked to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum CarryOutcome {
    /// The order was not sent to the worker.
    NotCarried = 0,
    /// The worker answered.
    Answered = 1,
    /// The carrier tried to send the order, and no complete answer came.
    NoAnswer = 2,
    /// Nothing listens at the worker's address. A leader of an older version reads this as [`CarryOutcome::NotCarried`] and sends the
    /// order itself.
    NotListening = 3,
}

/// Answer to a [`CarryRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CarryReply {
    /// Outcome, a [`CarryOutcome`].
    #[prost(enumeration = "CarryOutcome", tag = "1")]
    pub outcome: i32,
    /// Status of the worker's answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Body of the worker's answer, or the reason why there is none.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// Whether the order was sent more than once, because a connection broke before the answer came.
    #[prost(bool, tag = "4")]
    pub repeated: bool,
    /// Whether the order certainly did not reach the worker. Cores of older versions never set this.
    #[prost(bool, tag = "5")]
    pub never_sent: bool,
}

/// A worker's heartbeat without changes, relayed to the leader by the core that received it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RelayedHeartbeat {
    /// Name of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Time of the worker's clock in milliseconds.
    #[prost(uint64, optional, tag = "2")]
    pub clock_ms: Option<u64>,
    /// Sequence number of the heartbeat.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Time since the heartbeat was received in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// How long the worker stays slow after its start, in milliseconds from when the heartbeat was received.
    #[prost(uint64, tag = "5")]
    pub cold_ms: u64,
    /// Minimum time that the worker still ran when the heartbeat was received, in milliseconds, if the worker is leaving.
    #[prost(uint64, optional, tag = "6")]
    pub leaves_in_ms: Option<u64>,
}

/// Heartbeats that one core received within a short time.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RelayedHeartbeats {
    /// The heartbeats.
    #[prost(message, repeated, tag = "1")]
    pub signs: Vec<RelayedHeartbeat>,
}
