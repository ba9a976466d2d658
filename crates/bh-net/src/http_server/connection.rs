//! Server side of one connection of a caller, target or operator.

use super::Limits;
use super::guard::Guard;
use super::guard::GuardStatus;
use super::shared::Shared;
use crate::runtime::within_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::request;
use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedReadHalf;
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::BodyExt;
use monoio_http::common::body::HttpBody;
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::codec::decoder::RequestDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::FixedPayload;
use monoio_http::h1::payload::Payload;
use std::future::Future;
use tokio_util::sync::CancellationToken;

/// Maximum number of bytes of an unread body that are discarded before closing, so that a reset does not drop the refusal.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Bytes per read while an unread body is discarded.
const LINGER_READ_BYTES: usize = 16 << 10;
/// Longest time for discarding an unread body, in milliseconds.
const LINGER_MS: u64 = 500;
/// How long an idle connection still waits for a request in transit when the process stops, in milliseconds.
const STOP_GRACE_MS: u64 = 50;

type SharedReader = Shared<OwnedReadHalf<TcpStream>>;
type Decoder<'a> = RequestDecoder<&'a mut Guard<SharedReader>>;

/// Serves one connection until either side closes it.
///
/// The decoder and encoder of `monoio-http`, with about 16 KiB of buffers, and the handler's future exist only during a request: a
/// leader has a connection from every worker, and each is idle except for a heartbeat every second or two.
///
/// The connection closes after an answer in which the handler sets `connection: close`. Once `draining` is cancelled, it closes
/// after its next answer, which tells the caller so. Once `stop` is cancelled, an idle connection closes; a request in progress
/// is finished first.
pub async fn serve<F: Future<Output = Response<Bytes>>>(
    stream: TcpStream,
    limits: Limits,
    draining: &CancellationToken,
    stop: &CancellationToken,
    handler: impl Fn(Request<Bytes>) -> F,
) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let guard_status = GuardStatus::default();
    let source = Shared::new(read);
    let mut guard = Guard::new(source.clone(), limits, guard_status.clone());
    let mut writer = Shared::new(write);
    while let Some(request) = next_request(
        &mut guard,
        &source,
        &mut writer,
        &guard_status,
        &limits,
        stop,
    )
    .await
    {
        let caller_closes = asks_to_close(&request);
        let mut response = Box::pin(handler(request)).await;
        let must_close = caller_closes
            || has_close_header(response.headers())
            || guard_status.close.get()
            || draining.is_cancelled()
            || stop.is_cancelled();
        if must_close {
            response
                .headers_mut()
                .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
        }
        let sent = GenericEncoder::new(&mut writer)
            .send_and_flush(with_payload(response))
            .await;
        if sent.is_err() || must_close {
            break;
        }
    }
    let _ = writer.shutdown().await;
}

fn asks_to_close(request: &Request<Bytes>) -> bool {
    has_close_header(request.headers()) || request.version() == http::Version::HTTP_10
}

fn has_close_header(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn with_payload(response: Response<Bytes>) -> Response<HttpBody> {
    let (parts, body) = response.into_parts();
    let payload = Payload::Fixed(FixedPayload::new(body));
    Response::from_parts(parts, HttpBody::from(payload))
}

/// Reads the next complete request; returns `None` if the connection must be closed.
async fn next_request<W: AsyncWriteRent>(
    guard: &mut Guard<SharedReader>,
    source: &SharedReader,
    writer: &mut Shared<W>,
    guard_status: &GuardStatus,
    limits: &Limits,
    stop: &CancellationToken,
) -> Option<Request<Bytes>> {
    let (mut decoder, head) = next_head(guard, limits, stop).await?;
    let Ok(request) = head else {
        let code = guard_status.rejection.get().unwrap_or(Code::MalformedHead);
        refuse(writer, source.clone(), code).await;
        return None;
    };
    if expects_continue(&request) {
        let (result, _) = writer
            .write_all(&b"HTTP/1.1 100 Continue\r\n\r\n"[..])
            .await;
        result.ok()?;
    }
    let filled = within_ms(limits.body_ms, decoder.fill_payload()).await?;
    if filled.is_err() {
        if let Some(code) = guard_status.rejection.get() {
            refuse(writer, source.clone(), code).await;
        }
        return None;
    }
    let (parts, body) = request.into_parts();
    let bytes = body.bytes().await.ok()?;
    Some(Request::from_parts(parts, bytes))
}

type Head = Result<Request<Payload>, monoio_http::common::error::HttpError>;

/// Reads the next head; returns it with the decoder for its body.
async fn next_head<'a>(
    guard: &'a mut Guard<SharedReader>,
    limits: &Limits,
    stop: &CancellationToken,
) -> Option<(Decoder<'a>, Head)> {
    let next = within_ms(limits.idle_ms, async move {
        if !guard.fill().await {
            return None;
        }
        let mut decoder: Decoder = RequestDecoder::new(guard);
        let head = decoder.next().await?;
        Some((decoder, head))
    });
    let mut next = std::pin::pin!(next);
    monoio::select! {
        found = &mut next => return found.flatten(),
        () = stop.cancelled() => {}
    }
    within_ms(STOP_GRACE_MS, next).await.flatten().flatten()
}

fn expects_continue(request: &Request<Payload>) -> bool {
    let value = request.headers().get(header::EXPECT);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Refuses a request whose head or body was rejected, then closes the connection.
async fn refuse<W: AsyncWriteRent>(writer: &mut Shared<W>, source: SharedReader, code: Code) {
    let answer = Failure::new(code, "the connection closes").to_answer();
    let body = serde_json::to_string(&answer).unwrap_or_default();
    let status =
        http::StatusCode::from_u16(code.http_status()).unwrap_or(http::StatusCode::BAD_REQUEST);
    let text = format!(
        "HTTP/1.1 {} {}\r\nconnection: close\r\ncontent-type: application/json\r\n{}: {}\r\n{}: {}\r\ncontent-length: {}\r\n\r\n{body}",
        status.as_u16(),
        status.canonical_reason().unwrap_or(""),
        request::RESULT_CODE,
        code.number(),
        request::RAN,
        code.executed().as_str(),
        body.len(),
    );
    let (result, _) = writer.write_all(text.into_bytes()).await;
    if result.is_ok() && writer.shutdown().await.is_ok() {
        within_ms(LINGER_MS, linger(source)).await;
    }
}

/// Discards what the caller is still sending. Closing with unread bytes would reset the connection, and the caller would see the
/// reset instead of the refusal.
async fn linger(mut source: SharedReader) {
    let mut total = 0;
    while total < MAX_LINGER_BYTES {
        let (result, _) = source.read(Vec::with_capacity(LINGER_READ_BYTES)).await;
        match result {
            Ok(count) if count > 0 => total += count,
            _ => return,
        }
    }
}
