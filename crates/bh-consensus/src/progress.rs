//! How far one follower or observer has come, as its leader knows.

use std::sync::Arc;

/// Entries on their way to one replica at most: two batches, so that one is prepared while another is answered.
const MAX_ENTRIES_IN_FLIGHT: u64 = 1_024;

/// The leader's view of one other replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Name of its VM.
    pub name: Arc<str>,
    /// Whether it keeps its log on a disk.
    pub durable: bool,
    /// Highest index known to match the leader's log.
    pub matched: u64,
    /// Next index to send.
    pub next: u64,
    /// When it last answered.
    pub heard_ms: u64,
    /// Until when it surely knew of no later leader, in milliseconds: the time at which a message that it has answered was sent. When the answer was read
    /// says nothing of that, since it may have waited.
    pub supported_ms: u64,
    /// Highest heartbeat round it has answered.
    pub round: u64,
    /// When a snapshot was last sent; it is not sent again at once.
    pub snapshot_ms: Option<u64>,
    /// Last index that is not on its way: sent before `next` and known to have arrived, or not sent by this leader at all.
    arrived: u64,
    /// Round of the last start over; mismatches of earlier rounds are answers to what was sent before it.
    started_over_round: u64,
    /// Since the last start over, until the first match.
    probe: Probe,
}

/// Whether the place where the logs part is still looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// It is known: batches follow each other without waiting for answers.
    Found,
    /// A batch is to be sent from the place that was last hinted at.
    Due,
    /// It was sent, at this time in milliseconds.
    Sent(u64),
}

impl Progress {
    /// A replica of which nothing is known but that it may lack everything from `next` on.
    pub fn new(name: Arc<str>, durable: bool, next: u64, now_ms: u64) -> Self {
        Self {
            name,
            durable,
            matched: 0,
            next,
            heard_ms: now_ms,
            supported_ms: now_ms,
            round: 0,
            snapshot_ms: None,
            arrived: next - 1,
            started_over_round: 0,
            probe: Probe::Found,
        }
    }

    /// Whether entries may be sent now, or only a heartbeat: while the first batch after a start over has no answer, for `patience_ms`, and
    /// while much is on its way.
    ///
    /// A replica that was away rejects everything that does not fit, so that each of many messages on their way to it would call for
    /// another batch. On a small VM the batches then cost more time than there is between two of them: they pile up in the leader's memory
    /// (a hundred megabytes in six seconds were seen) and the replica never catches up.
    pub fn may_send_entries(&self, now_ms: u64, patience_ms: u64) -> bool {
        match self.probe {
            Probe::Found => self.next - 1 < self.arrived + MAX_ENTRIES_IN_FLIGHT,
            Probe::Due => true,
            Probe::Sent(at_ms) => now_ms >= at_ms + patience_ms,
        }
    }

    /// Notes that entries up to `last` were sent.
    pub fn note_sent(&mut self, now_ms: u64, last: u64) {
        match self.probe {
            // The next batch follows without waiting for an answer; a loss shows as a mismatch.
            Probe::Found => self.next = last + 1,
            Probe::Due | Probe::Sent(_) => self.probe = Probe::Sent(now_ms),
        }
    }

    /// Notes an answer that the logs match up to `index`.
    pub fn note_match(&mut self, index: u64, round: u64) {
        self.matched = self.matched.max(index);
        self.arrived = self.arrived.max(index);
        self.next = self.next.max(self.matched + 1);
        self.snapshot_ms = None;
        if round >= self.started_over_round {
            self.probe = Probe::Found;
        }
    }

    /// Whether a mismatch answers something that was sent after the last start over.
    pub fn is_news(&self, round: u64) -> bool {
        round >= self.started_over_round
    }

    /// Starts over from `next`; what is sent from `round` on belongs to the new start.
    pub fn start_over(&mut self, next: u64, round: u64) {
        self.next = next.max(self.matched + 1);
        self.arrived = self.next - 1;
        self.started_over_round = round;
        self.probe = Probe::Due;
    }
}
