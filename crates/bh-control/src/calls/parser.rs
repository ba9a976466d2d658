//! Parses calls without holding up the event loop.

use crate::dialect::ParsedCall;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use local_sync::semaphore::Semaphore;

/// Size of a body up to which it is parsed on the event loop, in bytes. Starting a thread's work takes about as long as parsing these.
const INLINE_BYTES: usize = 32 << 10;

/// Parses requests; large ones on a helper thread, one at a time, so that the threads that write the journal are not all busy.
pub struct Parser {
    read: fn(&Request<Bytes>) -> Result<ParsedCall, StatusCode>,
    turn: Semaphore,
}

impl Parser {
    /// Creates a parser that parses with `read`.
    pub fn new(read: fn(&Request<Bytes>) -> Result<ParsedCall, StatusCode>) -> Self {
        Self {
            read,
            turn: Semaphore::new(1),
        }
    }

    /// Parses a request. The error is the status for a request that is not a call.
    pub async fn parse(&self, request: Request<Bytes>) -> Result<ParsedCall, StatusCode> {
        let read = self.read;
        if request.body().len() <= INLINE_BYTES {
            return read(&request);
        }
        // The semaphore is never closed.
        let _turn = self.turn.acquire().await;
        let parsed = monoio::spawn_blocking(move || read(&request)).await;
        parsed.unwrap_or(Err(StatusCode::INTERNAL_SERVER_ERROR))
    }
}
