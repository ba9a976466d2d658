//! The replicated record that keeps non-idempotent requests at most once.

use bh_protocol::request::RequestKey;
use bh_protocol::request::StoredAnswer;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Requests remembered at most. The oldest ended ones go first.
pub const MAX_ENTRIES: usize = 200_000;
/// Bytes of answers kept at most; the oldest are dropped first, and their resends told so.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Largest answer that is kept, in bytes.
pub const MAX_KEPT_ANSWER: usize = 16 << 10;

/// A change of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// The request is about to be sent to a target. Recorded before its first byte leaves.
    Begin {
        /// The request.
        key: RequestKey,
        /// Digest of its type and body: a key that is used again for something else is refused.
        digest: u64,
        /// Unique number of this attempt to begin; a repeated proposal gets its own first answer again.
        attempt: u64,
        /// Wall clock at which its outcome must be known, in milliseconds since 1970.
        expires_wall_ms: u64,
    },
    /// The request ended, with an answer that resends get.
    End {
        /// The request.
        key: RequestKey,
        /// Attempt that began it.
        attempt: u64,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Nothing was sent after all: the request may begin again.
    Withdraw {
        /// The request.
        key: RequestKey,
        /// Attempt that began it.
        attempt: u64,
    },
}

/// Answer to a [`LedgerCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// The attempt may send the request.
    Granted,
    /// Another attempt began it and has not reported its outcome.
    Begun {
        /// Wall clock after which its outcome will not come any more.
        expires_wall_ms: u64,
    },
    /// It has ended, with this answer.
    Ended(StoredAnswer),
    /// The key was used for something else.
    KeyReused,
    /// The change is recorded.
    Recorded,
}

/// One request in the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    digest: u64,
    attempt: u64,
    expires_wall_ms: u64,
    answer: Option<StoredAnswer>,
}

/// All non-idempotent requests whose home is this group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    entries: BTreeMap<Arc<str>, Entry>,
    ended: VecDeque<Arc<str>>,
    with_body: VecDeque<Arc<str>>,
    answer_bytes: usize,
}

impl Ledger {
    /// An empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies one change. Replicas that apply the same changes in the same order are equal.
    pub fn apply(&mut self, command: LedgerCommand) -> LedgerAnswer {
        match command {
            LedgerCommand::Begin {
                key,
                digest,
                attempt,
                expires_wall_ms,
            } => self.begin(&name(&key), digest, attempt, expires_wall_ms),
            LedgerCommand::End {
                key,
                attempt,
                answer,
            } => self.end(&name(&key), attempt, answer),
            LedgerCommand::Withdraw { key, attempt } => self.withdraw(&name(&key), attempt),
        }
    }

    fn begin(
        &mut self,
        name: &Arc<str>,
        digest: u64,
        attempt: u64,
        expires_wall_ms: u64,
    ) -> LedgerAnswer {
        match self.entries.get(name) {
            None => {
                self.entries.insert(
                    name.clone(),
                    Entry {
                        digest,
                        attempt,
                        expires_wall_ms,
                        answer: None,
                    },
                );
                LedgerAnswer::Granted
            }
            Some(entry) if entry.digest != digest => LedgerAnswer::KeyReused,
            Some(Entry {
                answer: Some(answer),
                ..
            }) => LedgerAnswer::Ended(answer.clone()),
            // The proposal was repeated because its answer was lost between entries; nothing was sent yet.
            Some(entry) if entry.attempt == attempt => LedgerAnswer::Granted,
            Some(entry) => LedgerAnswer::Begun {
                expires_wall_ms: entry.expires_wall_ms,
            },
        }
    }

    fn end(&mut self, name: &Arc<str>, attempt: u64, mut answer: StoredAnswer) -> LedgerAnswer {
        let Some(entry) = self
            .entries
            .get_mut(name)
            .filter(|entry| entry.attempt == attempt && entry.answer.is_none())
        else {
            return LedgerAnswer::Recorded;
        };
        if answer
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_KEPT_ANSWER)
        {
            answer.body = None;
        }
        if let Some(body) = &answer.body {
            self.answer_bytes += body.len();
            self.with_body.push_back(name.clone());
        }
        entry.answer = Some(answer);
        self.ended.push_back(name.clone());
        self.forget();
        LedgerAnswer::Recorded
    }

    fn withdraw(&mut self, name: &Arc<str>, attempt: u64) -> LedgerAnswer {
        if self
            .entries
            .get(name)
            .is_some_and(|entry| entry.attempt == attempt && entry.answer.is_none())
        {
            self.entries.remove(name);
        }
        LedgerAnswer::Recorded
    }

    /// Keeps the record within its bounds. A request without an outcome is never forgotten: its resend would run it
    /// a second time.
    fn forget(&mut self) {
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let Some(oldest) = self.with_body.pop_front() else {
                break;
            };
            if let Some(body) = self
                .entries
                .get_mut(&oldest)
                .and_then(|entry| entry.answer.as_mut()?.body.take())
            {
                self.answer_bytes -= body.len();
            }
        }
        while self.ended.len() > MAX_ENTRIES {
            let Some(oldest) = self.ended.pop_front() else {
                break;
            };
            if let Some(body) = self
                .entries
                .remove(&oldest)
                .and_then(|entry| entry.answer?.body)
            {
                self.answer_bytes -= body.len();
            }
        }
    }
}

fn name(key: &RequestKey) -> Arc<str> {
    Arc::from(format!("{}/{}", key.customer, key.key))
}
