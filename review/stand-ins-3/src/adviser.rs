//! The adviser, which says which workers may run a step.

use crate::http::Reply;
use crate::http::Server;
use crate::json::Json;
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// The adviser.
pub struct Adviser {
    _server: Server,
}

impl Adviser {
    pub fn start(
        address: SocketAddr,
        (decision_ms, period_ms): (u64, u64),
        record: Arc<Record>,
    ) -> Adviser {
        let turn = Mutex::new(());
        let server = Server::start(address, move |request| {
            let _turn = turn.lock().unwrap();
            let step = request.body.get("step").str().unwrap_or("").to_owned();
            let Json::Arr(workers) = request.body.get("workers") else {
                return Reply::Answer(400, Json::Obj(Vec::new()));
            };
            thread::sleep(Duration::from_millis(
                decision_ms + period_ms * workers.len() as u64,
            ));
            let allowed: Vec<Json> = workers
                .iter()
                .filter_map(Json::str)
                .filter(|worker| is_allowed(worker))
                .map(|worker| {
                    Json::Arr(vec![
                        Json::Str(worker.to_owned()),
                        Json::Str(format!("t {step} {worker}")),
                    ])
                })
                .collect();
            record.line(format!(
                "adviser: {step}, {} workers, {} allowed",
                workers.len(),
                allowed.len()
            ));
            Reply::Answer(
                200,
                Json::Obj(vec![("allowed".to_owned(), Json::Arr(allowed))]),
            )
        });
        Adviser { _server: server }
    }
}

/// All workers but two may run a step; which ones doesn't change.
fn is_allowed(worker: &str) -> bool {
    !worker.starts_with("i-w10-") && !worker.starts_with("i-w11-")
}
