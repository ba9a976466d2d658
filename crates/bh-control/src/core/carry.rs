//! Orders that the leader sends to workers through other cores, the workers' carriers.
//!
//! A leader that talked to every worker of a large fleet itself would need more connections than a small VM has descriptors, and would
//! spend its processor time on HTTP while the other cores are idle. So the cores share the workers. Only the leader decides, records and
//! writes orders; a carrier passes them on unchanged.
//!
//! To the worker, a carried order looks like one that the network delayed or duplicated. It is fenced by the leader's term and includes the
//! end of its lease, so a carrier that is lost, cut off or suspended can do no more harm than a bad connection.

use super::core_node::CoreNode;
use super::worker_calls::Answered;
use super::worker_calls::Unanswered;
use crate::mesh::Peer;
use bh_net::http_client::SendError;
use bh_net::link::CallError;
use bh_protocol::Incarnation;
use bh_protocol::wire::CarryOutcome;
use bh_protocol::wire::CarryReply;
use bh_protocol::wire::CarryRequest;
use bh_protocol::wire::Header;
use bh_protocol::wire::RpcKind;
use bh_workload::dispatch::Recipient;
use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use prost::Message;
use std::rc::Rc;

/// Time that the carrier adds to the worker's answer time, in milliseconds: two hops of a few milliseconds, with margin for a busy
/// processor.
const RELAY_OVERHEAD_MS: u64 = 150;

/// Result of sending an order, as the leader knows it.
pub(super) enum SendOutcome {
    /// The worker answered.
    Answered {
        /// Its answer.
        response: Response<Bytes>,
        /// Whether the order was sent before without an answer. The worker may have carried it out then.
        repeated: bool,
    },
    /// The last attempt found that nothing listens at the worker's address.
    NotListening {
        /// Whether an earlier attempt to send the order may have reached the worker.
        repeated: bool,
    },
    /// The worker did not answer.
    NoAnswer(String),
    /// The carrier was lost. Nothing is known of the worker, and the order may have been carried out.
    CarrierLost(String),
}

/// Sends an order of the leader of `term` to a worker: through its carrier, or directly if there is none.
pub(super) async fn send(
    core: &Rc<CoreNode>,
    term: u64,
    to: &Recipient,
    request: Request<Bytes>,
    limit_ms: u64,
) -> SendOutcome {
    if let Some(carrier) = carrier_of(core, &to.worker) {
        let carry = CarryRequest {
            term,
            sent_ms: core.clock.now_ms(),
            limit_ms,
            address: to.address.to_string(),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            headers: headers(&request),
            body: request.body().to_vec(),
        };
        core.metrics.count("orders_carried", 1);
        match send_over(&carrier, &carry).await {
            // The carrier refused, so nothing was sent: it knows of a later term, or considers the order delayed because a clock had
            // stopped. The order is sent directly below.
            Ok(reply) if reply.outcome() == CarryOutcome::NotCarried => {
                core.metrics.count("orders_refused_by_carriers", 1);
            }
            Ok(reply) => return outcome_of(reply),
            Err(CallError::Lost) => return SendOutcome::CarrierLost("no answer".to_owned()),
            // Nothing has left this core yet. The order is sent directly below.
            Err(CallError::NotSent) => {}
        }
    }
    match core.workers.send(to.address, request, limit_ms).await {
        Ok(Answered { response, repeated }) => SendOutcome::Answered { response, repeated },
        Err(Unanswered {
            error: SendError::Refused,
            repeated,
        }) => SendOutcome::NotListening { repeated },
        Err(Unanswered { error, .. }) => SendOutcome::NoAnswer(error.to_string()),
    }
}

/// The link to the carrier of a recorded worker; `None` if this core talks to the worker itself or has no link to the carrier.
fn carrier_of(core: &Rc<CoreNode>, worker: &Incarnation) -> Option<Rc<Peer>> {
    let workload = core.group.machine.read();
    let carrier = core.carrier_of(&workload.worker(worker)?.info)?;
    core.mesh.peer(carrier.address)
}

/// Sends an order through `carrier` and waits until it answers or is lost.
async fn send_over(carrier: &Peer, carry: &CarryRequest) -> Result<CarryReply, CallError> {
    let limit_ms = carry.limit_ms + RELAY_OVERHEAD_MS;
    let reply = monoio::select! {
        reply = carrier.call(RpcKind::Carry, carry.encode_to_vec(), limit_ms) => reply?,
        () = carrier.until_silent() => return Err(CallError::Lost),
    };
    CarryReply::decode(&*reply.body).map_err(|error| {
        log::warn!(core = carrier.address.to_string(); "the answer of a carrier cannot be decoded: {error}");
        CallError::Lost
    })
}

/// The headers of an order, for a carry request.
fn headers(request: &Request<Bytes>) -> Vec<Header> {
    let headers = request.headers().iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    });
    headers.collect()
}

/// What a carrier's reply says about the order.
fn outcome_of(reply: CarryReply) -> SendOutcome {
    let why = || String::from_utf8_lossy(&reply.body).into_owned();
    match reply.outcome() {
        CarryOutcome::NotListening => SendOutcome::NotListening {
            repeated: !reply.never_sent,
        },
        CarryOutcome::NotCarried | CarryOutcome::NoAnswer => SendOutcome::NoAnswer(why()),
        CarryOutcome::Answered => {
            let status = u16::try_from(reply.status)
                .ok()
                .and_then(|status| StatusCode::from_u16(status).ok());
            let Some(status) = status else {
                return SendOutcome::NoAnswer(format!("status {}", reply.status));
            };
            let mut response = Response::new(Bytes::from(reply.body));
            *response.status_mut() = status;
            SendOutcome::Answered {
                response,
                repeated: reply.repeated,
            }
        }
    }
}

/// Handles a request to carry an order of the leader to a worker. Returns the encoded reply.
pub(super) async fn carry(core: &Rc<CoreNode>, body: &[u8]) -> Vec<u8> {
    let reply = match CarryRequest::decode(body) {
        Ok(request) => carry_decoded(core, request).await,
        Err(error) => not_carried(error.to_string()),
    };
    reply.encode_to_vec()
}

/// Sends the order to the worker, unless its leader is no longer current or the order was delayed.
async fn carry_decoded(core: &Rc<CoreNode>, carry: CarryRequest) -> CarryReply {
    // The latest term that this core knows of.
    let known = core.group.status().term;
    if carry.term < known {
        return not_carried(format!("term {} is over, this is {known}", carry.term));
    }
    // An order that was delayed, because this VM or the link was paused, has already been given up by its sender.
    let late_ms =
        core.carry_delay
            .borrow_mut()
            .note(carry.term, carry.sent_ms, core.clock.now_ms());
    if late_ms > carry.limit_ms {
        return not_carried(format!("{late_ms} ms late"));
    }
    let Ok(address) = carry.address.parse() else {
        return not_carried(format!("no address: {}", carry.address));
    };
    let limit_ms = carry.limit_ms;
    let Some(request) = request(carry) else {
        return not_carried("no request".to_owned());
    };
    match core.workers.send(address, request, limit_ms).await {
        Ok(Answered { response, repeated }) => CarryReply {
            outcome: CarryOutcome::Answered.into(),
            status: response.status().as_u16().into(),
            body: response.into_body().to_vec(),
            repeated,
            never_sent: false,
        },
        Err(Unanswered { error, repeated }) => CarryReply {
            never_sent: error == SendError::Refused && !repeated,
            outcome: match error {
                SendError::Refused => CarryOutcome::NotListening.into(),
                _ => CarryOutcome::NoAnswer.into(),
            },
            status: 0,
            body: error.to_string().into_bytes(),
            repeated,
        },
    }
}

/// Refuses to carry an order: nothing was sent to the worker.
fn not_carried(why: String) -> CarryReply {
    log::info!("order not carried: {why}");
    CarryReply {
        outcome: CarryOutcome::NotCarried.into(),
        status: 0,
        body: why.into_bytes(),
        repeated: false,
        never_sent: true,
    }
}

/// The order as the leader wrote it; `None` if the carry request is malformed.
fn request(carry: CarryRequest) -> Option<Request<Bytes>> {
    let mut request = Request::new(Bytes::from(carry.body));
    *request.method_mut() = Method::from_bytes(carry.method.as_bytes()).ok()?;
    *request.uri_mut() = carry.path.parse::<Uri>().ok()?;
    for header in carry.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}
