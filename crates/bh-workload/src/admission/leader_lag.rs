//! Measures how far the leader is behind.

/// Time without any call or iteration after which the process counts as suspended, in milliseconds. It is the least lag that counts, so a
/// shorter pause has no effect in any case; a leader that is merely busy begins calls or iterations much more often.
const SUSPENSION_MS: u64 = 250;
/// Longest time between two pauses for both to count as load, in milliseconds. A leader whose every iteration takes long pauses again after
/// one interval of its loop; suspensions of a process are further apart.
const PAUSES_GAP_MS: u64 = 1_000;

/// Measures how far the leader is behind: how late its loop runs, and how old the oldest unanswered call is.
///
/// The first pause in which neither a call nor an iteration begins does not count: it shows that the process was suspended, and once it runs
/// again it is not behind.
#[derive(Clone, Debug)]
pub struct LeaderLag {
    interval_ms: u64,
    /// When the next iteration of the loop is due; `None` before the first.
    due_ms: Option<u64>,
    /// When a call or an iteration last began.
    active_ms: u64,
    /// Start and end of the last pause that counts as a suspension.
    suspended_ms: (u64, u64),
    /// End of the last pause of any kind.
    paused_until_ms: Option<u64>,
}

impl LeaderLag {
    /// Creates the measure for a loop whose iterations are at most `interval_ms` apart.
    pub fn new(interval_ms: u64) -> Self {
        Self {
            interval_ms,
            due_ms: None,
            active_ms: 0,
            suspended_ms: (0, 0),
            paused_until_ms: None,
        }
    }

    /// Takes note that an iteration of the loop begins. Returns by how much it is late, in milliseconds.
    pub fn note_iteration(&mut self, now_ms: u64) -> u64 {
        self.note_activity(now_ms);
        let late_ms = self.overdue_ms(now_ms);
        self.due_ms = Some(now_ms + self.interval_ms);
        late_ms
    }

    /// Takes note that the handling of a call or an iteration begins.
    pub fn note_activity(&mut self, now_ms: u64) {
        let from_ms = self.active_ms;
        self.active_ms = now_ms;
        let Some(due_ms) = self.due_ms else {
            return;
        };
        if now_ms < from_ms + SUSPENSION_MS {
            return;
        }
        let paused_before = self.paused_until_ms.replace(now_ms);
        if paused_before.is_some_and(|until_ms| from_ms <= until_ms + PAUSES_GAP_MS) {
            return;
        }
        self.suspended_ms = (from_ms, now_ms);
        self.due_ms = Some(due_ms + now_ms.saturating_sub(due_ms.max(from_ms)));
    }

    /// Returns the lag at `now_ms` if the oldest unanswered call arrived at `oldest_call_ms`, in milliseconds: the age of that call, or by how
    /// much the next iteration is overdue.
    pub fn lag_ms(&self, now_ms: u64, oldest_call_ms: Option<u64>) -> u64 {
        let call_age_ms = oldest_call_ms.map_or(0, |at_ms| self.age_ms(now_ms, at_ms));
        self.overdue_ms(now_ms).max(call_age_ms)
    }

    fn overdue_ms(&self, now_ms: u64) -> u64 {
        self.due_ms
            .map_or(0, |due_ms| now_ms.saturating_sub(due_ms))
    }

    /// Returns the age of a call that arrived at `at_ms`, without the last suspension.
    fn age_ms(&self, now_ms: u64, at_ms: u64) -> u64 {
        let (from_ms, to_ms) = self.suspended_ms;
        let suspended_ms = to_ms.saturating_sub(at_ms.max(from_ms));
        now_ms.saturating_sub(at_ms).saturating_sub(suspended_ms)
    }
}
