//! Strict check of request heads and of the length of the body, before `monoio-http` parses them.
//!
//! `monoio-http` accepts two `Content-Length` headers, and `Content-Length` together with `Transfer-Encoding`. A balancer in front
//! of it may use the other header. The two then disagree about where the body ends, and bytes of one caller's body are read as
//! the start of another caller's request (request smuggling). Such heads are refused here.

use super::Limits;
use bh_protocol::Code;

/// How the end of a request body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked; the connection closes after the answer.
    Chunked,
}

/// Checks a complete head, including its empty line.
///
/// # Errors
///
/// The result code with which the request is refused; no part of it has been executed.
pub fn check_head(head: &[u8], limits: &Limits) -> Result<Framing, Code> {
    if has_bare_newline(head) || head.contains(&0) {
        return Err(Code::MalformedHead);
    }
    let mut headers = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        Err(httparse::Error::TooManyHeaders) => return Err(Code::HeadTooLarge),
        _ => return Err(Code::MalformedHead),
    }
    framing_of(request.headers, limits)
}

fn has_bare_newline(head: &[u8]) -> bool {
    let is_bare = |(at, byte): (usize, &u8)| *byte == b'\n' && (at == 0 || head[at - 1] != b'\r');
    head.iter().enumerate().any(is_bare)
}

fn framing_of(headers: &[httparse::Header<'_>], limits: &Limits) -> Result<Framing, Code> {
    let mut lengths = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("content-length"));
    let mut encodings = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("transfer-encoding"));
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(_), Some(_)) => Err(Code::AmbiguousLength),
        (None, Some(encoding)) => {
            let chunked = encoding.value.eq_ignore_ascii_case(b"chunked");
            if chunked && encodings.next().is_none() {
                Ok(Framing::Chunked)
            } else {
                Err(Code::AmbiguousLength)
            }
        }
        (Some(length), None) => {
            if lengths.next().is_some() {
                return Err(Code::AmbiguousLength);
            }
            let length = parse_length(length.value).ok_or(Code::MalformedHead)?;
            if length > limits.max_body_bytes {
                Err(Code::BodyTooLarge)
            } else {
                Ok(Framing::Length(length))
            }
        }
    }
}

/// Accepts digits only, since programs read a sign, a space or a comma differently.
fn parse_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
