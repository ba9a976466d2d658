//! How calls, answers and orders are written on the wire of a deployment.

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

/// A call as it was read, with the time its sender waits.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedCall {
    /// The call.
    pub call: Call,
    /// How long the sender waits for the answer, in milliseconds; `None` when it does not say.
    pub timeout_ms: Option<u64>,
}

/// Functions that translate; they decide nothing.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Reads what came to an entry. The error is the status for something that is no call at all.
    pub read_caller: fn(&Request<Bytes>) -> Result<ParsedCall, StatusCode>,
    /// Reads what came to a core from a worker or an operator. The error is as above.
    pub read_control: fn(&Request<Bytes>) -> Result<ParsedCall, StatusCode>,
    /// Writes an answer to a call.
    pub write_answer: fn(&Call, &Answer) -> Response<Bytes>,
    /// Whether a request asks if the process is ready.
    pub asks_readiness: fn(&Request<Bytes>) -> bool,
    /// Writes an order to a worker.
    pub write_order: fn(&Order) -> Request<Bytes>,
    /// Reads a worker's answer to an order.
    pub read_answer: fn(&Order, &Response<Bytes>) -> dispatch::Answer,
    /// Writes an order on a VM to the service that keeps the VMs.
    pub write_upkeep: fn(&UpkeepOrder, SocketAddr) -> Request<Bytes>,
    /// Reads its answer.
    pub read_upkeep: fn(&Response<Bytes>) -> UpkeepAnswer,
    /// Writes a question to the adviser at an address.
    pub write_question: fn(&Question, SocketAddr) -> Request<Bytes>,
    /// Reads the adviser's answer; `None` when it is none.
    pub read_permissions: fn(&Response<Bytes>) -> Option<Vec<Permission>>,
}
