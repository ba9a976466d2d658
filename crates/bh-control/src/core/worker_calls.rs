//! Calls to workers over connections that are kept open.

use bh_net::Clock;
use bh_net::http_client::Connection;
use bh_net::http_client::Pool;
use bh_net::http_client::SendError;
use bh_net::runtime::sleep_ms;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::cell::Cell;
use std::net::SocketAddr;

/// Time to open a connection, in milliseconds. Within a region it takes a few; a VM without power never answers.
const CONNECT_TIMEOUT_MS: u64 = 600;
/// Largest answer of a worker in bytes: some hundred ends with their checkpoints.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
/// Time after which an unused connection is closed, in milliseconds. Opening one costs the worker more than keeping it.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Unused connections kept to one worker: one for the look that always waits, and some for starts that come together. Eight to each of
/// 350 workers took two thirds of a small VM's descriptors, and without descriptors every worker seems lost.
const MAX_IDLE_PER_WORKER: usize = 4;

/// Share of the process's descriptors that unused connections to workers take at most, in percent. A process without descriptors can neither call
/// a worker nor write its record.
const MAX_IDLE_PERCENT: usize = 25;

/// Share of the process's descriptors that calls in progress take at most, in percent.
const MAX_IN_PROGRESS_PERCENT: usize = 25;
/// Calls in progress at least, however few descriptors there are.
const MIN_IN_PROGRESS_LIMIT: usize = 8;
/// Time between looks for a call that has ended, in milliseconds, while as many are in progress as may be.
const POLL_MS: u64 = 5;

/// An answer of a worker.
pub struct Answered {
    /// The answer.
    pub response: Response<Bytes>,
    /// Whether the request was sent again, since a kept connection broke after it had been sent there.
    pub repeated: bool,
}

/// A call that had no answer.
#[derive(Debug)]
pub struct Unanswered {
    /// Why.
    pub error: SendError,
    /// Whether the request was sent before, on a kept connection that broke then: it may have been carried out, whatever the error says of the
    /// last send.
    pub repeated: bool,
}

/// Connections to workers.
pub struct WorkerCalls {
    pool: Pool,
    clock: Clock,
    in_progress: Cell<usize>,
    max_in_progress: usize,
}

impl WorkerCalls {
    /// No connections yet; the process may have `descriptors` open files and connections.
    pub fn new(clock: Clock, descriptors: usize) -> Self {
        Self {
            pool: Pool::new()
                .with_max_idle(MAX_IDLE_PER_WORKER)
                .with_max_total(descriptors * MAX_IDLE_PERCENT / 100)
                .with_max_idle_ms(IDLE_TIMEOUT_MS),
            clock,
            in_progress: Cell::new(0),
            max_in_progress: (descriptors * MAX_IN_PROGRESS_PERCENT / 100)
                .max(MIN_IN_PROGRESS_LIMIT),
        }
    }

    /// Calls in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Closes the connections that nothing is sent on: a core that stops leading calls no workers, and each takes descriptors and memory
    /// at both ends.
    pub fn close(&self) {
        self.pool.clear();
    }

    /// Closes the connections that were not used for long.
    pub fn age_out(&self) {
        self.pool.age_out(self.clock.now_ms());
    }

    /// Sends a request and waits for the whole answer, for `limit_ms` at most.
    ///
    /// A kept connection that turns out closed is replaced at once, and the request sent again; [`Answered::repeated`] says so, since the first
    /// send may have been carried out. After a silent one all kept
    /// connections to the worker are dropped, since whatever lost track of one has likely lost the others too.
    ///
    /// # Errors
    ///
    /// [`Unanswered`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit_ms: u64,
    ) -> Result<Answered, Unanswered> {
        let until_ms = self.clock.now_ms() + limit_ms;
        // A process without descriptors can do nothing any more, so calls wait for each other instead.
        while self.in_progress.get() >= self.max_in_progress {
            if self.clock.now_ms() >= until_ms {
                return Err(Unanswered {
                    error: SendError::NotConnected,
                    repeated: false,
                });
            }
            sleep_ms(POLL_MS).await;
        }
        self.in_progress.set(self.in_progress.get() + 1);
        let result = self.exchange(address, request, until_ms).await;
        self.in_progress.set(self.in_progress.get() - 1);
        result
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        until_ms: u64,
    ) -> Result<Answered, Unanswered> {
        let left_ms = || until_ms.saturating_sub(self.clock.now_ms());
        let mut repeated = false;
        if let Some(mut connection) = self.pool.take(address, self.clock.now_ms()) {
            let copy = copy(&request);
            match connection.send(copy, left_ms(), MAX_ANSWER_BYTES).await {
                Err(SendError::Broken) => repeated = true,
                Err(error) => {
                    self.pool.forget(address);
                    return Err(Unanswered { error, repeated });
                }
                Ok(response) => {
                    self.pool
                        .give_back(address, connection, self.clock.now_ms());
                    return Ok(Answered { response, repeated });
                }
            }
        }
        let unanswered = |error| Unanswered { error, repeated };
        let mut connection = Connection::open(address, left_ms().min(CONNECT_TIMEOUT_MS))
            .await
            .map_err(unanswered)?;
        let response = connection
            .send(request, left_ms(), MAX_ANSWER_BYTES)
            .await
            .map_err(unanswered)?;
        self.pool
            .give_back(address, connection, self.clock.now_ms());
        Ok(Answered { response, repeated })
    }
}

fn copy(request: &Request<Bytes>) -> Request<Bytes> {
    let mut copy = Request::new(request.body().clone());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy
}
