//! One connection of a caller, target or operator.

use super::Limits;
use super::guard::Guard;
use super::guard::Verdict;
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

/// Bytes of an unread body that are read away before closing, so that the refusal is not lost to a reset.
const LINGER_BYTES: usize = 1 << 20;
/// Bytes asked for at a time.
const READ_BYTES: usize = 16 << 10;
/// Longest time for that, in milliseconds.
const LINGER_MS: u64 = 500;
/// Once the listener is closed, an idle connection waits this long for a request already on its way, in milliseconds.
const LAST_REQUEST_MS: u64 = 50;

type Source = Shared<OwnedReadHalf<TcpStream>>;
type Reading<'a> = RequestDecoder<&'a mut Guard<Source>>;

/// Serves one connection until either side closes it.
///
/// The library's decoder and encoder, with some 16 KiB of buffers, and the handler's work live for one request only: a leader holds a
/// connection of every worker, idle but for a heartbeat every second or two.
///
/// A handler that puts `connection: close` into its answer has the connection closed behind it.
/// While `draining` is cancelled every answer asks the caller to use another connection. When `stop` is cancelled an
/// idle connection closes; a request in progress is finished first.
pub async fn serve<F: Future<Output = Response<Bytes>>>(
    stream: TcpStream,
    limits: Limits,
    draining: &CancellationToken,
    stop: &CancellationToken,
    handler: impl Fn(Request<Bytes>) -> F,
) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let verdict = Verdict::default();
    let source = Shared::new(read);
    let mut guard = Guard::new(source.clone(), limits, verdict.clone());
    let mut raw = Shared::new(write);
    while let Some(request) =
        next_request(&mut guard, &source, &mut raw, &verdict, &limits, stop).await
    {
        let wants_close = asks_to_close(&request);
        let mut response = Box::pin(handler(request)).await;
        let close = wants_close
            || says_close(response.headers())
            || verdict.close.get()
            || draining.is_cancelled()
            || stop.is_cancelled();
        if close {
            response
                .headers_mut()
                .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
        }
        let sent = GenericEncoder::new(&mut raw)
            .send_and_flush(with_payload(response))
            .await;
        if sent.is_err() || close {
            break;
        }
    }
    let _ = raw.shutdown().await;
}

fn asks_to_close(request: &Request<Bytes>) -> bool {
    says_close(request.headers()) || request.version() == http::Version::HTTP_10
}

fn says_close(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn with_payload(response: Response<Bytes>) -> Response<HttpBody> {
    let (parts, body) = response.into_parts();
    let payload = Payload::Fixed(FixedPayload::new(body));
    Response::from_parts(parts, HttpBody::from(payload))
}

/// The next whole request, or `None` when the connection is to be closed.
async fn next_request<W: AsyncWriteRent>(
    guard: &mut Guard<Source>,
    source: &Source,
    raw: &mut Shared<W>,
    verdict: &Verdict,
    limits: &Limits,
    stop: &CancellationToken,
) -> Option<Request<Bytes>> {
    let (mut decoder, head) = next_head(guard, limits, stop).await?;
    let Ok(request) = head else {
        let code = verdict.rejection.get().unwrap_or(Code::MalformedHead);
        refuse(raw, source.clone(), code).await;
        return None;
    };
    if expects_continue(&request) {
        let (result, _) = raw.write_all(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await;
        result.ok()?;
    }
    let filled = within_ms(limits.body_ms, decoder.fill_payload()).await?;
    if filled.is_err() {
        if let Some(code) = verdict.rejection.get() {
            refuse(raw, source.clone(), code).await;
        }
        return None;
    }
    let (parts, body) = request.into_parts();
    let bytes = body.bytes().await.ok()?;
    Some(Request::from_parts(parts, bytes))
}

type Head = Result<Request<Payload>, monoio_http::common::error::HttpError>;

/// The next head, with the decoder that reads its body.
async fn next_head<'a>(
    guard: &'a mut Guard<Source>,
    limits: &Limits,
    stop: &CancellationToken,
) -> Option<(Reading<'a>, Head)> {
    let next = within_ms(limits.idle_ms, async move {
        if !guard.fill().await {
            return None;
        }
        let mut decoder: Reading = RequestDecoder::new(guard);
        let head = decoder.next().await?;
        Some((decoder, head))
    });
    let mut next = std::pin::pin!(next);
    monoio::select! {
        found = &mut next => return found.flatten(),
        () = stop.cancelled() => {}
    }
    within_ms(LAST_REQUEST_MS, next).await.flatten().flatten()
}

fn expects_continue(request: &Request<Payload>) -> bool {
    let value = request.headers().get(header::EXPECT);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Answers a request whose head or body could not be accepted, then closes.
async fn refuse<W: AsyncWriteRent>(raw: &mut Shared<W>, source: Source, code: Code) {
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
    let (result, _) = raw.write_all(text.into_bytes()).await;
    if result.is_ok() && raw.shutdown().await.is_ok() {
        within_ms(LINGER_MS, linger(source)).await;
    }
}

/// Reads away what the caller is still sending. Closing with unread bytes resets the connection, and the caller
/// would see the reset in place of the refusal.
async fn linger(mut source: Source) {
    let mut total = 0;
    while total < LINGER_BYTES {
        let (result, _) = source.read(Vec::with_capacity(READ_BYTES)).await;
        match result {
            Ok(count) if count > 0 => total += count,
            _ => return,
        }
    }
}
