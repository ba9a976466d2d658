//! `POST /v1/customers/{customer}/requests/{type}`: runs a short request.

use super::answer;
use crate::node::Node;
use crate::requests;
use crate::requests::FinalAnswer;
use crate::requests::ShortRequest;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::request as names;
use bh_settings::check;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::rc::Rc;
use std::sync::Arc;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

pub(super) async fn serve(
    node: &Rc<Node>,
    request: &Request<Bytes>,
    customer: &str,
    kind: &str,
) -> Result<Response<Bytes>, Failure> {
    let start_ms = node.clock.now_ms();
    let (short_request, objective_ms) = resolve(node, request, customer, kind)?;
    let (customer, request_type) = (
        short_request.customer.clone(),
        short_request.request_type.clone(),
    );
    let final_answer = requests::execute(node, short_request, false).await;
    let took_ms = node.clock.now_ms().saturating_sub(start_ms);
    let code = final_answer.code();
    let met_objective = code == Code::Done && took_ms <= objective_ms;
    node.counters.borrow_mut().note(
        node.clock.wall_ms(),
        &customer,
        &request_type,
        met_objective,
    );
    node.metrics
        .record_request(&customer, &request_type, code.number(), took_ms);
    log::debug!(customer = &*customer, request_type = &*request_type, code = code.number(), took_ms = took_ms; "request ended");
    Ok(to_response(final_answer))
}

fn resolve(
    node: &Rc<Node>,
    request: &Request<Bytes>,
    customer: &str,
    kind: &str,
) -> Result<(ShortRequest, u64), Failure> {
    let (_, settings) = node.settings_in_force();
    let headers = request.headers();
    let resolved = check::resolve(&settings, customer, kind, answer::token(headers))?;
    let request_type = resolved.request_type;
    let size = u64::try_from(request.body().len()).unwrap_or(u64::MAX);
    if size > request_type.max_body_bytes {
        let label = format!(
            "{size} bytes; request type `{kind}` allows {}",
            request_type.max_body_bytes
        );
        return Err(Failure::new(Code::BodyTooLarge, label));
    }
    let short_request = ShortRequest {
        customer: Arc::from(customer),
        weight: resolved.customer.weight,
        request_type: Arc::from(kind),
        priority: request_type.priority,
        idempotent: request_type.idempotent,
        key: key(node, headers)?,
        left_ms: deadline_ms(headers, request_type.deadline_ms)?,
        content_type: answer::header(headers, "content-type").map(str::to_owned),
        body: request.body().clone(),
    };
    Ok((short_request, request_type.objective_ms))
}

/// The caller's idempotency key, or a unique generated one: without a key from the caller, a resend is a new request.
fn key(node: &Node, headers: &http::HeaderMap) -> Result<Arc<str>, Failure> {
    match answer::header(headers, names::IDEMPOTENCY_KEY) {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(Failure::new(
            Code::MalformedBody,
            format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes"),
        )),
        Some(key) => Ok(Arc::from(key)),
        None => Ok(Arc::from(format!(
            "own-{:016x}-{}-{}",
            node.replica,
            node.clock.wall_ms(),
            node.next_request_number()
        ))),
    }
}

fn deadline_ms(headers: &http::HeaderMap, max_ms: u64) -> Result<u64, Failure> {
    match answer::header(headers, names::DEADLINE_MS) {
        None => Ok(max_ms),
        Some(text) => text
            .parse::<u64>()
            .map(|requested_ms| requested_ms.min(max_ms))
            .map_err(|_| {
                Failure::new(
                    Code::MalformedBody,
                    format!("`{}` must be a number of milliseconds", names::DEADLINE_MS),
                )
            }),
    }
}

fn to_response(final_answer: FinalAnswer) -> Response<Bytes> {
    match final_answer {
        FinalAnswer::Answered {
            status,
            content_type,
            body,
        } => {
            let content_type =
                content_type.unwrap_or_else(|| "application/octet-stream".to_owned());
            answer::build(status, Code::Done, &content_type, body)
        }
        FinalAnswer::Failed(failure) => answer::failed(&failure),
    }
}
