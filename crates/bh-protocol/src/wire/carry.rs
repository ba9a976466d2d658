//! Orders to workers that one core carries for another, and signs of life of workers.

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

/// An order as the leader wrote it, for the core that talks to the worker.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CarryRequest {
    /// Term of the leader: the carrier refuses orders of one that it knows to be replaced.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// When it was sent, on the leader's clock in milliseconds: the carrier refuses what was held up on its way.
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
    /// Its path.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Its headers.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// Its body.
    #[prost(bytes = "vec", tag = "8")]
    pub body: Vec<u8>,
}

/// What became of an order that was to be carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum CarryOutcome {
    /// It was not sent to the worker.
    NotCarried = 0,
    /// The worker answered.
    Answered = 1,
    /// It was sent, or tried to be, and no whole answer came.
    NoAnswer = 2,
    /// Nothing listens at the worker's address. A leader of an older version takes it for [`CarryOutcome::NotCarried`] and tries itself.
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
    /// Body of the worker's answer; why there is none otherwise.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// Whether the order was sent again since the connection of an earlier send broke before its answer came.
    #[prost(bool, tag = "4")]
    pub repeated: bool,
    /// Whether the order surely did not reach the worker. Cores of older versions don't say so.
    #[prost(bool, tag = "5")]
    pub never_sent: bool,
}

/// A heartbeat that changed nothing, as the core that took it tells the leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RelayedHeartbeat {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The worker's clock in milliseconds.
    #[prost(uint64, optional, tag = "2")]
    pub clock_ms: Option<u64>,
    /// Number of the heartbeat.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// How long ago it came, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// How much longer the worker is slow after its start, in milliseconds, when it came.
    #[prost(uint64, tag = "5")]
    pub cold_ms: u64,
    /// Shortest time for which the worker still ran when it came, in milliseconds, if it is leaving.
    #[prost(uint64, optional, tag = "6")]
    pub leaves_in_ms: Option<u64>,
}

/// Heartbeats that came to one core within a moment.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RelayedHeartbeats {
    /// The heartbeats.
    #[prost(message, repeated, tag = "1")]
    pub signs: Vec<RelayedHeartbeat>,
}
