//! Evacuations of data centres: the operator's commands and the list.

use super::core_node::CoreNode;
use super::incoming;
use crate::calls::Answer;
use crate::calls::Call;
use crate::calls::RETRY_AFTER_MS;
use bh_net::http_server::answer;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_workload::state::Refusal;
use bh_workload::state::Workload;
use bytes::Bytes;
use http::Method;
use http::Response;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use std::sync::Arc;

/// Timeout for recording the command, in milliseconds. An operator at a command line waits longer than a program, and an election may be in
/// progress.
const ORDER_TIMEOUT_MS: u64 = 5_000;

/// An evacuation in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// How long it has been in progress, in milliseconds.
    pub for_ms: u64,
    /// Number of runs that started there before the evacuation and have not ended.
    pub runs: usize,
}

/// Answer to an operator's evacuation command, once it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Whether it is under evacuation now.
    pub is_evacuated: bool,
}

/// The evacuations in progress at `wall_ms`, in milliseconds since 1970.
pub(super) fn list(wall_ms: u64, workload: &Workload) -> Vec<Evacuation> {
    let runs_in = |data_centre: &Arc<str>| {
        let inside = workload
            .workers()
            .filter(|worker| worker.info.data_centre == *data_centre);
        inside.map(|worker| worker.runs.len()).sum()
    };
    let evacuations = workload.evacuations();
    evacuations
        .map(|(data_centre, since_ms)| Evacuation {
            data_centre: data_centre.clone(),
            for_ms: wall_ms.saturating_sub(since_ms),
            runs: runs_in(data_centre),
        })
        .collect()
}

/// Starts or ends an evacuation through the operator's interface; `None` for an unknown method.
pub(super) async fn order(
    core: &Rc<CoreNode>,
    method: &Method,
    data_centre: &str,
) -> Option<Response<Bytes>> {
    let data_centre: Arc<str> = Arc::from(data_centre);
    let is_evacuated = *method == Method::POST;
    let mut call = match *method {
        Method::POST => Call::Evacuate {
            data_centre: data_centre.clone(),
            known_change: None,
        },
        Method::DELETE => Call::EndEvacuation {
            data_centre: data_centre.clone(),
            known_change: None,
        },
        _ => return None,
    };
    let ordered = EvacuationStatus {
        data_centre,
        is_evacuated,
    };
    let answer = match prepare_order(core, &mut call, ORDER_TIMEOUT_MS) {
        Ok(()) => incoming::decide(core, &call, ORDER_TIMEOUT_MS).await,
        Err(answer) => answer,
    };
    Some(match answer {
        Answer::Done => answer::json(&ordered),
        other => answer::failed(&failure(&ordered.data_centre, &other)),
    })
}

/// Prepares an order on an evacuation that this core has just read; other calls stay as they are. The last change of the data centre that the
/// core knows is added: if the order is delayed from here on and another change is recorded first, it is refused.
///
/// # Errors
///
/// The answer to an order that may have waited in this process for longer than its sender does. The sender has sent it to another core then,
/// and may have undone it since. Rules, heartbeats and waves have numbers that tell the same.
pub(super) fn prepare_order(
    core: &CoreNode,
    call: &mut Call,
    timeout_ms: u64,
) -> Result<(), Answer> {
    let (Call::Evacuate {
        data_centre,
        known_change,
    }
    | Call::EndEvacuation {
        data_centre,
        known_change,
    }) = call
    else {
        return Ok(());
    };
    let waited_ms = core.standstill.waited_ms();
    if waited_ms >= timeout_ms {
        core.metrics.count("evacuation_orders_delayed", 1);
        log::warn!(data_centre = &**data_centre, waited_ms; "order on an evacuation refused: it may have waited while this core stood still");
        return Err(Answer::Unavailable {
            retry_after_ms: RETRY_AFTER_MS,
        });
    }
    *known_change = Some(core.group.machine.read().evacuation_change(data_centre));
    Ok(())
}

fn failure(data_centre: &str, answer: &Answer) -> Failure {
    match answer {
        Answer::Refused(Refusal::NoDataCentre) => {
            let label = format!("no data centre is named `{data_centre}`");
            Failure::new(Code::UnknownDataCentre, label)
        }
        Answer::Unknown => {
            let label = "the order may have been recorded; it may be sent again";
            Failure::new(Code::Unreachable, label)
        }
        Answer::Refused(Refusal::Outdated) => {
            let label =
                "the evacuation was changed while the order was on its way; nothing was recorded";
            Failure::new(Code::NoQuorum, label).with_retry_after_ms(RETRY_AFTER_MS)
        }
        _ => Failure::new(Code::NoQuorum, "no core leads").with_retry_after_ms(RETRY_AFTER_MS),
    }
}
