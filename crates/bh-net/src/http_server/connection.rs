//! Server side of one connection of a caller, target or operator.

use super::Framing;
use super::Limits;
use super::progress_writer::ProgressWriter;
use super::read_error::ReadError;
use super::refusal::refusal;
use super::request_reader::RequestReader;
use crate::connections::Resource;
use crate::connections::Slot;
use crate::connections::Stage;
use crate::runtime::within_ms;
use bh_protocol::Code;
use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::net::TcpStream;
use monoio_http::common::body::HttpBody;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::FixedPayload;
use monoio_http::h1::payload::Payload;
use std::future::Future;
use tokio_util::sync::CancellationToken;

/// Maximum number of bytes of an unread body that are discarded before closing, so that a reset does not drop the refusal.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Longest time for discarding an unread body, in milliseconds.
const LINGER_MS: u64 = 500;
/// Longest time for sending a refusal, in milliseconds: it fits into the send buffer of a caller that reads its answers.
const REFUSAL_MS: u64 = 50;
/// How long an idle connection still waits for a request in transit when the process stops, in milliseconds.
const STOP_GRACE_MS: u64 = 50;
/// Memory of a request without its body, in bytes: its head, the bytes read behind it, and the answer's head.
const REQUEST_BYTES: u64 = 24 << 10;
/// Size of an answer that fits into `REQUEST_BYTES`.
const SMALL_ANSWER_BYTES: u64 = 8 << 10;
/// Copies of an answer while it is sent: the handler's, and the encoder's.
const ANSWER_COPIES: u64 = 2;
/// Number of times that a body of the largest size fits into the memory of requests, so that it can be parsed.
const BODY_SHARE: u64 = 4;

type Reader = RequestReader<OwnedReadHalf<TcpStream>>;
type Writer = OwnedWriteHalf<TcpStream>;

/// Serves one connection until either side closes it.
///
/// The buffers of a request, the encoder of `monoio-http` and the handler's future exist only during a request: a leader has a
/// connection from every worker, and each is idle except for a heartbeat every second or two.
///
/// The connection closes after an answer in which the handler sets `connection: close`. Once `draining` is cancelled, it closes
/// after its next answer, which tells the caller so. Once `stop` is cancelled, an idle connection closes; a request in progress
/// is finished first. A connection that has to give way to others closes at once, unless its request is being carried out.
pub async fn serve<F: Future<Output = Response<Bytes>>>(
    stream: TcpStream,
    limits: Limits,
    slot: Slot,
    draining: &CancellationToken,
    stop: &CancellationToken,
    handler: impl Fn(Request<Bytes>) -> F,
) {
    let _ = stream.set_nodelay(true);
    let (read, mut writer) = stream.into_split();
    let mut reader = RequestReader::new(read, limits);
    while let Some(request) = next_request(&mut reader, &mut writer, &limits, &slot, stop).await {
        let caller_closes = asks_to_close(&request);
        slot.enter(Stage::Executing);
        let mut response = Box::pin(handler(request)).await;
        slot.shrink_to(REQUEST_BYTES);
        let must_close = caller_closes
            || has_close_header(response.headers())
            || draining.is_cancelled()
            || stop.is_cancelled();
        if must_close {
            response
                .headers_mut()
                .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
        }
        let is_sent = send(&mut writer, response, &limits, &slot).await;
        slot.shrink_to(0);
        if !is_sent || must_close {
            break;
        }
    }
    let _ = writer.shutdown().await;
}

fn asks_to_close(request: &Request<Bytes>) -> bool {
    has_close_header(request.headers())
        || request.version() == http::Version::HTTP_10
        // A balancer may see another end of a chunked body; what follows must not be read as a request.
        || request.headers().contains_key(header::TRANSFER_ENCODING)
}

fn has_close_header(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Sends an answer; returns whether it was sent whole. A caller that does not read it must give way to others.
async fn send(
    writer: &mut Writer,
    response: Response<Bytes>,
    limits: &Limits,
    slot: &Slot,
) -> bool {
    slot.enter(Stage::Sending);
    let bytes = u64::try_from(response.body().len()).unwrap_or(u64::MAX);
    if bytes > SMALL_ANSWER_BYTES {
        let memory = slot.grow_for_answer(bytes.saturating_mul(ANSWER_COPIES));
        if !matches!(within_ms(limits.body_ms, memory).await, Some(Ok(()))) {
            return false;
        }
    }
    let (parts, body) = response.into_parts();
    let payload = Payload::Fixed(FixedPayload::new(body));
    let response = Response::from_parts(parts, HttpBody::from(payload));
    let mut encoder = GenericEncoder::new(ProgressWriter::new(writer, slot));
    monoio::select! {
        sent = within_ms(limits.body_ms, encoder.send_and_flush(response)) => matches!(sent, Some(Ok(()))),
        () = slot.evicted() => false,
    }
}

/// Reads the next complete request; returns `None` if the connection must be closed.
async fn next_request(
    reader: &mut Reader,
    writer: &mut Writer,
    limits: &Limits,
    slot: &Slot,
    stop: &CancellationToken,
) -> Option<Request<Bytes>> {
    slot.enter(Stage::Idle);
    let read = monoio::select! {
        read = read_request(reader, writer, limits, slot, stop) => read,
        () = slot.evicted() => Err(ReadError::Closed),
    };
    let read = match slot.evicted_for() {
        Some(resource) => Err(ReadError::Evicted(resource)),
        None => read,
    };
    let was_receiving = slot.stage() == Stage::Receiving;
    let (code, linger_ms) = match read {
        Ok(request) => return Some(request),
        Err(ReadError::Refused(code)) => (code, LINGER_MS),
        Err(ReadError::Evicted(Resource::Memory)) if was_receiving => (Code::NoMemory, LINGER_MS),
        // Another connection waits until this one is closed.
        Err(ReadError::Evicted(Resource::Connection)) if was_receiving => {
            (Code::TooManyConnections, 0)
        }
        Err(ReadError::Evicted(_) | ReadError::Closed) => return None,
    };
    if code == Code::BodyTooLarge {
        slot.table().note_too_large();
    }
    // What was read has been dropped with the future.
    slot.shrink_to(0);
    slot.enter(Stage::Closing);
    refuse(reader, writer, code, linger_ms).await;
    None
}

/// Refuses a request, and discards for `linger_ms` what the caller is still sending. Closing with unread bytes would reset the connection,
/// and the caller would see the reset instead of the refusal.
async fn refuse(reader: &mut Reader, writer: &mut Writer, code: Code, linger_ms: u64) {
    let (parts, body) = refusal(code).into_parts();
    let payload = Payload::Fixed(FixedPayload::new(body));
    let response = Response::from_parts(parts, HttpBody::from(payload));
    let mut encoder = GenericEncoder::new(&mut *writer);
    let sent = within_ms(REFUSAL_MS, encoder.send_and_flush(response)).await;
    let is_refused = matches!(sent, Some(Ok(()))) && writer.shutdown().await.is_ok();
    if is_refused && linger_ms > 0 {
        within_ms(linger_ms, reader.discard(MAX_LINGER_BYTES)).await;
    }
}

async fn read_request(
    reader: &mut Reader,
    writer: &mut Writer,
    limits: &Limits,
    slot: &Slot,
    stop: &CancellationToken,
) -> Result<Request<Bytes>, ReadError> {
    let (parts, framing) = next_head(reader, limits, slot, stop).await?;
    let max_large_bytes = slot.table().limits().max_large_bytes;
    let max_body_bytes = limits.max_body_bytes.min(max_large_bytes / BODY_SHARE);
    if matches!(framing, Framing::Length(length) if length > max_body_bytes) {
        return Err(Code::BodyTooLarge.into());
    }
    if expects_continue(&parts) {
        let (result, _) = writer
            .write_all(&b"HTTP/1.1 100 Continue\r\n\r\n"[..])
            .await;
        result.map_err(|_| ReadError::Closed)?;
    }
    let body = within_ms(limits.body_ms, reader.body(framing, max_body_bytes, slot)).await;
    let body = body.ok_or(ReadError::Closed)??;
    if !body.is_empty() {
        slot.grow_complete((limits.parse_bytes)(&parts, &body))
            .await?;
    }
    Ok(Request::from_parts(parts, body))
}

/// Reads the next head.
async fn next_head(
    reader: &mut Reader,
    limits: &Limits,
    slot: &Slot,
    stop: &CancellationToken,
) -> Result<(Parts, Framing), ReadError> {
    let next = within_ms(limits.idle_ms, async move {
        reader.wait().await?;
        slot.enter(Stage::Receiving);
        slot.grow(REQUEST_BYTES).await?;
        reader.head().await
    });
    let mut next = std::pin::pin!(next);
    let closed = Err(ReadError::Closed);
    monoio::select! {
        found = &mut next => return found.unwrap_or(closed),
        () = stop.cancelled() => {}
    }
    let found = within_ms(STOP_GRACE_MS, next).await;
    found.flatten().unwrap_or(closed)
}

fn expects_continue(parts: &Parts) -> bool {
    let value = parts.headers.get(header::EXPECT);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
