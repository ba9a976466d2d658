//! Parses calls without holding up the event loop.

use crate::dialect::ParsedCall;
use bh_net::Background;
use bytes::Bytes;
use http::Request;
use http::StatusCode;

/// Parses requests; large ones in the background.
pub struct Parser {
    read: fn(&Request<Bytes>) -> Result<ParsedCall, StatusCode>,
    background: Background,
}

impl Parser {
    /// Creates a parser that parses with `read`.
    pub fn new(read: fn(&Request<Bytes>) -> Result<ParsedCall, StatusCode>) -> Self {
        Self {
            read,
            background: Background::new(),
        }
    }

    /// Parses a request. The error is the status for a request that is not a call.
    pub async fn parse(&self, request: Request<Bytes>) -> Result<ParsedCall, StatusCode> {
        let read = self.read;
        let parsed = self
            .background
            .run(request.body().len(), move || read(&request));
        parsed
            .await
            .unwrap_or(Err(StatusCode::INTERNAL_SERVER_ERROR))
    }
}
