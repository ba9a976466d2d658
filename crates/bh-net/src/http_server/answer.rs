//! Answers of the product's interface, each with its result code in a header.

use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::request;
use bytes::Bytes;
use http::Response;
use http::StatusCode;
use serde::Serialize;

/// A successful answer with `value` as JSON.
pub fn json(value: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => build(200, Code::Done, "application/json", Bytes::from(body)),
        Err(error) => failed(&Failure::new(Code::Internal, error.to_string())),
    }
}

/// A successful answer with a text body.
pub fn text(content_type: &str, body: String) -> Response<Bytes> {
    build(200, Code::Done, content_type, Bytes::from(body))
}

/// The answer that reports `failure`.
pub fn failed(failure: &Failure) -> Response<Bytes> {
    let body = serde_json::to_vec(&failure.to_answer()).unwrap_or_default();
    let mut response = build(
        failure.code.http_status(),
        failure.code,
        "application/json",
        Bytes::from(body),
    );
    if let Some(retry_after_ms) = failure.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        set(&mut response, "retry-after", &seconds.to_string());
        set(
            &mut response,
            "x-retry-after-ms",
            &retry_after_ms.to_string(),
        );
    }
    response
}

/// An answer with the given status, result code and body.
pub fn build(status: u16, code: Code, content_type: &str, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set(&mut response, "content-type", content_type);
    set(
        &mut response,
        request::RESULT_CODE,
        &code.number().to_string(),
    );
    set(&mut response, request::RAN, code.executed().as_str());
    response
}

fn set(response: &mut Response<Bytes>, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
