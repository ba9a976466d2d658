//! A leader's view of how far another replica's log has come.

use std::sync::Arc;

/// Limit of entries in flight to one replica: two batches, so that the leader prepares one while the replica answers the other.
const MAX_ENTRIES_IN_FLIGHT: u64 = 1_024;
/// Bytes of commands in flight to one replica from which on no more are sent, unless it answers.
const MAX_BYTES_IN_FLIGHT: u64 = 2 << 20;
/// Times as long as otherwise until a snapshot is sent again to a replica that has sent nothing since.
const SILENT_SNAPSHOT_FACTOR: u64 = 8;

/// The leader's view of one other replica, which is a follower or an observer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Name of the replica's VM.
    pub name: Arc<str>,
    /// Whether the replica keeps its log on a disk.
    pub durable: bool,
    /// Highest index at which the replica's log is known to match the leader's.
    pub matched: u64,
    /// Index of the next entry to send.
    pub next: u64,
    /// When the replica last answered or, as an observer, announced itself.
    pub last_contact_ms: u64,
    /// Latest time, in milliseconds, at which the replica certainly knew of no later leader: when the leader sent the latest message that it
    /// answered. The time at which the leader reads the answer doesn't show that, since the answer may have waited in a buffer.
    pub supported_ms: u64,
    /// Whether the replica's disk has little space left, as it last said.
    pub low_on_space: bool,
    /// Highest heartbeat round that the replica has answered.
    pub round: u64,
    /// When a snapshot was last sent, so that it is not sent again at once.
    pub snapshot_sent_ms: Option<u64>,
    /// When the replica last answered or announced itself, also as a voter.
    pub heard_ms: u64,
    /// Entries after this index and before `next` are in flight: this leader sent them and has no acknowledgement yet.
    in_flight_after: u64,
    /// First round sent since the last probe started. Rejections of earlier rounds answer messages from before the probe.
    probe_round: u64,
    mode: SendMode,
}

/// Whether the leader knows where the replica's log starts to differ from its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendMode {
    /// The leader knows: it sends batches without waiting for answers.
    Pipelined,
    /// The leader is to send one batch from the index that the replica last suggested.
    ProbeDue,
    /// The leader sent that batch, at this time in milliseconds, and waits for the answer.
    ProbeSent(u64),
}

impl Progress {
    /// A replica that may lack everything from `next` on.
    pub fn new(name: Arc<str>, durable: bool, next: u64, now_ms: u64) -> Self {
        Self {
            name,
            durable,
            matched: 0,
            next,
            last_contact_ms: now_ms,
            supported_ms: now_ms,
            low_on_space: false,
            round: 0,
            snapshot_sent_ms: None,
            heard_ms: now_ms,
            in_flight_after: next - 1,
            probe_round: 0,
            mode: SendMode::Pipelined,
        }
    }

    /// Index after which entries are in flight.
    pub fn in_flight_after(&self) -> u64 {
        self.in_flight_after
    }

    /// Whether a snapshot may be sent now. It is sent again after `retry_ms` if the replica has been heard since, which shows that the snapshot
    /// was lost, and much later if it has not: it may still be receiving a large one.
    pub fn may_send_snapshot(&self, now_ms: u64, retry_ms: u64) -> bool {
        self.snapshot_sent_ms.is_none_or(|sent_ms| {
            let wait_ms = if self.heard_ms > sent_ms {
                retry_ms
            } else {
                retry_ms * SILENT_SNAPSHOT_FACTOR
            };
            now_ms >= sent_ms + wait_ms
        })
    }

    /// Whether the leader may send entries now rather than only a heartbeat. It may not while too many entries or bytes are in flight, nor
    /// for `retry_ms` after a probe that has no answer yet.
    ///
    /// A replica that was away rejects every message that doesn't fit its log. If the leader answered each rejection with another batch, a
    /// small VM would spend more time on the batches than there is between two of them: they would pile up in the leader's memory
    /// (a hundred megabytes in six seconds were seen) and the replica would never catch up.
    pub fn may_send_entries(&self, now_ms: u64, retry_ms: u64, bytes_in_flight: u64) -> bool {
        match self.mode {
            SendMode::Pipelined => {
                self.next - 1 < self.in_flight_after + MAX_ENTRIES_IN_FLIGHT
                    && bytes_in_flight < MAX_BYTES_IN_FLIGHT
            }
            SendMode::ProbeDue => true,
            SendMode::ProbeSent(at_ms) => now_ms >= at_ms + retry_ms,
        }
    }

    /// Records that entries up to `last` were sent.
    pub fn note_sent(&mut self, now_ms: u64, last: u64) {
        match self.mode {
            // The next batch follows without waiting for an answer. The replica rejects it if this one is lost.
            SendMode::Pipelined => self.next = last + 1,
            SendMode::ProbeDue | SendMode::ProbeSent(_) => self.mode = SendMode::ProbeSent(now_ms),
        }
    }

    /// Records an answer to `round` that the logs match up to `index`.
    pub fn note_match(&mut self, index: u64, round: u64) {
        self.matched = self.matched.max(index);
        self.in_flight_after = self.in_flight_after.max(index);
        self.next = self.next.max(self.matched + 1);
        self.snapshot_sent_ms = None;
        if round >= self.probe_round {
            self.mode = SendMode::Pipelined;
        }
    }

    /// Whether an answer to `round` answers a message sent since the last probe started.
    pub fn is_current(&self, round: u64) -> bool {
        round >= self.probe_round
    }

    /// Starts a probe from `next`; the messages from `round` on belong to it.
    pub fn restart_probe(&mut self, next: u64, round: u64) {
        self.next = next.max(self.matched + 1);
        self.in_flight_after = self.next - 1;
        self.probe_round = round;
        self.mode = SendMode::ProbeDue;
    }
}
