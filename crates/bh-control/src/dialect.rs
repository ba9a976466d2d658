//! Translation of calls, answers and orders to and from the wire format of a deployment.

use crate::calls::Answer;
use crate::calls::Call;
use bh_workload::dispatch;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::Permission;
use bh_workload::dispatch::Question;
use bh_workload::upkeep::UpkeepAnswer;
use bh_workload::upkeep::UpkeepOrder;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use std::net::SocketAddr;

/// A parsed call, with its sender's timeout.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedCall {
    /// The call.
    pub call: Call,
    /// How long the sender waits for the answer, in milliseconds; `None` if it does not say.
    pub timeout_ms: Option<u64>,
}

/// Functions that translate between the wire format and the calls and orders of this crate. They make no decisions.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Parses a request to an entry. The error is the status for a request that is not a call.
    pub read_caller: fn(&Request<Bytes>) -> Result<ParsedCall, StatusCode>,
    /// Parses a request of a worker or an operator to a core. The error is the status for a request that is not a call.
    pub read_control: fn(&Request<Bytes>) -> Result<ParsedCall, StatusCode>,
    /// Writes an answer to a call.
    pub write_answer: fn(&Call, &Answer) -> Response<Bytes>,
    /// Whether a request is a readiness check.
    pub asks_readiness: fn(&Request<Bytes>) -> bool,
    /// Writes an order to a worker.
    pub write_order: fn(&Order) -> Request<Bytes>,
    /// Parses a worker's answer to an order.
    pub read_answer: fn(&Order, &Response<Bytes>) -> dispatch::Answer,
    /// Writes an order on a VM to the VM service.
    pub write_upkeep: fn(&UpkeepOrder, SocketAddr) -> Request<Bytes>,
    /// Parses the VM service's answer.
    pub read_upkeep: fn(&Response<Bytes>) -> UpkeepAnswer,
    /// Writes a question to the adviser at an address.
    pub write_question: fn(&Question, SocketAddr) -> Request<Bytes>,
    /// Parses the adviser's answer; `None` if it is invalid.
    pub read_permissions: fn(&Response<Bytes>) -> Option<Vec<Permission>>,
}
