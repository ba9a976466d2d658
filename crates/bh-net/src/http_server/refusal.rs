//! Answers to requests that never reach a handler.

use super::answer;
use bh_protocol::Code;
use bh_protocol::Failure;
use bytes::Bytes;
use http::Response;
use http::header;

/// When to retry a request that was refused for want of room, in milliseconds. Requests of clients that end them take less.
const RETRY_AFTER_MS: u64 = 1_000;

/// The answer with which a request is refused; the connection closes after it.
pub(super) fn refusal(code: Code) -> Response<Bytes> {
    let mut failure = Failure::new(code, "the connection closes");
    if matches!(code, Code::NoMemory | Code::TooManyConnections) {
        failure = failure.with_retry_after_ms(RETRY_AFTER_MS);
    }
    let mut response = answer::failed(&failure);
    response
        .headers_mut()
        .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    response
}
