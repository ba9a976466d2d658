//! The replicated record of non-idempotent requests, which makes each of them run at most once.

use bh_protocol::request::RequestKey;
use bh_protocol::request::StoredAnswer;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Upper limit of ended requests in the record. The oldest ones are dropped first.
pub const MAX_ENDED_REQUESTS: usize = 200_000;
/// Upper limit of the bytes of all stored answer bodies. The oldest ones are dropped first; a resend of such a request is told so.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Largest answer body that is stored, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 16 << 10;

/// A change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Record that the request is about to be sent to a target, before its first byte is sent.
    Begin {
        /// Key of the request.
        key: RequestKey,
        /// Digest of the request's type and body. A key that is reused for another request is refused.
        digest: u64,
        /// Unique number of this attempt. A repeated proposal with the same number gets the same answer.
        attempt: u64,
        /// Wall clock by which the outcome is known, in milliseconds since 1970.
        expires_wall_ms: u64,
    },
    /// Record that the request ended, with the answer that resends get.
    End {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that began the request.
        attempt: u64,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Remove the request because nothing was sent, so that it may begin again.
    Withdraw {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that began the request.
        attempt: u64,
    },
}

/// Answer to a [`LedgerCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// The attempt may send the request.
    Granted,
    /// Another attempt began the request and has not reported its outcome.
    Begun {
        /// Wall clock after which no outcome will be reported any more.
        expires_wall_ms: u64,
    },
    /// The request has ended with this answer.
    Ended(StoredAnswer),
    /// The key was used for another request.
    KeyReused,
    /// The change is recorded.
    Recorded,
}

/// One request in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    digest: u64,
    attempt: u64,
    expires_wall_ms: u64,
    answer: Option<StoredAnswer>,
}

/// All non-idempotent requests that this group keeps the record of.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    entries: BTreeMap<Arc<str>, LedgerEntry>,
    ended: VecDeque<Arc<str>>,
    with_body: VecDeque<Arc<str>>,
    answer_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests in the ledger.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the ledger holds no request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies one change. It is deterministic: replicas that apply the same changes in the same order are equal.
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
                    LedgerEntry {
                        digest,
                        attempt,
                        expires_wall_ms,
                        answer: None,
                    },
                );
                LedgerAnswer::Granted
            }
            Some(entry) if entry.digest != digest => LedgerAnswer::KeyReused,
            Some(LedgerEntry {
                answer: Some(answer),
                ..
            }) => LedgerAnswer::Ended(answer.clone()),
            // The same proposal was repeated because its answer was lost between entries. Nothing was sent yet.
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
            .is_some_and(|body| body.len() > MAX_STORED_ANSWER_BYTES)
        {
            answer.body = None;
        }
        if let Some(body) = &answer.body {
            self.answer_bytes += body.len();
            self.with_body.push_back(name.clone());
        }
        entry.answer = Some(answer);
        self.ended.push_back(name.clone());
        self.enforce_limits();
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

    /// Drops the oldest answers and ended requests until the ledger is within its limits. A request without an outcome is
    /// never dropped, because a resend would then run it a second time.
    fn enforce_limits(&mut self) {
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
        while self.ended.len() > MAX_ENDED_REQUESTS {
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
