//! The one answer that the caller of a short request gets.

use bh_protocol::Code;
use bh_protocol::Executed;
use bh_protocol::Failure;
use bh_protocol::request::StoredAnswer;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// A final answer.
#[derive(Clone, Debug)]
pub enum FinalAnswer {
    /// The target's complete answer.
    Answered {
        /// HTTP status of the target.
        status: u16,
        /// Content type of the body.
        content_type: Option<String>,
        /// Body.
        body: Bytes,
    },
    /// No complete answer; the code says whether the request ran.
    Failed(Failure),
}

/// Head of an answer as one entry sends it to another; the body follows separately.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status of the target.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
}

impl FinalAnswer {
    /// The result code of the answer.
    pub fn code(&self) -> Code {
        match self {
            FinalAnswer::Answered { .. } => Code::Done,
            FinalAnswer::Failed(failure) => failure.code,
        }
    }

    /// Whether nothing was sent to a target.
    pub fn has_not_run(&self) -> bool {
        self.code().executed() == Executed::No
    }

    /// Converts the answer to the form that the ledger stores, from which a resend of the request is answered.
    pub fn to_stored(&self) -> StoredAnswer {
        match self {
            FinalAnswer::Answered { body, .. } => StoredAnswer {
                code: Code::Done.number(),
                body: Some(body.to_vec()),
            },
            FinalAnswer::Failed(failure) => StoredAnswer {
                code: failure.code.number(),
                body: Some(failure.label.clone().into_bytes()),
            },
        }
    }

    /// The answer to a resend, from what the ledger stored when the request first ended.
    pub fn from_stored(stored: StoredAnswer) -> Self {
        let code = Code::from_number(stored.code).unwrap_or(Code::Internal);
        match (code, stored.body) {
            (Code::Done, Some(body)) => FinalAnswer::Answered {
                status: 200,
                content_type: None,
                body: Bytes::from(body),
            },
            (Code::Done, None) => FinalAnswer::Failed(Failure::new(
                Code::AnswerNotKept,
                "an earlier request with this key",
            )),
            (code, body) => {
                let label = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
                FinalAnswer::Failed(Failure::new(code, label))
            }
        }
    }
}
