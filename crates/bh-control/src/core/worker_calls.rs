//! Calls to workers over kept-alive connections.

use bh_net::Clock;
use bh_net::connections::Connections;
use bh_net::http_client::Connection;
use bh_net::http_client::Pool;
use bh_net::http_client::SendError;
use bh_net::runtime::sleep_ms;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout for opening a connection, in milliseconds. Within a region it takes a few; a VM without power never answers.
const CONNECT_TIMEOUT_MS: u64 = 600;
/// Maximum size of a worker's answer in bytes: some hundred ends with their checkpoints.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
/// Time after which an idle connection is closed, in milliseconds. Opening one costs the worker more than keeping it.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Maximum number of idle connections per worker: one for the probe that is always waiting, and some for starts that come together. Eight
/// for each of 350 workers took two thirds of a small VM's descriptors, and without descriptors every worker seems lost.
const MAX_IDLE_PER_WORKER: usize = 4;

/// Maximum percentage of the process's descriptors for idle connections to workers. A process without descriptors can neither call a worker
/// nor write the replicated log to its disk.
const MAX_IDLE_PERCENT: usize = 25;

/// Maximum percentage of the process's descriptors for calls in progress.
const MAX_IN_PROGRESS_PERCENT: usize = 25;
/// Lower bound of the limit on calls in progress, however few descriptors there are.
const MIN_IN_PROGRESS_LIMIT: usize = 8;
/// Time between checks for a free slot while the limit on calls in progress is reached, in milliseconds.
const POLL_MS: u64 = 5;

/// An answer of a worker.
pub struct Answered {
    /// The response.
    pub response: Response<Bytes>,
    /// Whether the request was sent twice, since a kept-alive connection broke after the first attempt.
    pub repeated: bool,
}

/// A call without an answer.
#[derive(Debug)]
pub struct Unanswered {
    /// The error of the last attempt.
    pub error: SendError,
    /// Whether the request was sent before, on a kept-alive connection that then broke. In that case it may have been carried out, whatever
    /// the error of the last attempt says.
    pub repeated: bool,
}

/// Pool of connections to workers, with a limit on calls in progress.
pub struct WorkerCalls {
    pool: Pool,
    clock: Clock,
    /// Account from which large answers take their memory.
    connections: Option<Rc<Connections>>,
    in_progress: Cell<usize>,
    max_in_progress: usize,
}

impl WorkerCalls {
    /// Creates an empty pool for a process that may have `descriptors` open files and connections.
    pub fn new(clock: Clock, descriptors: usize) -> Self {
        Self {
            pool: Pool::new()
                .with_max_idle(MAX_IDLE_PER_WORKER)
                .with_max_total(descriptors * MAX_IDLE_PERCENT / 100)
                .with_max_idle_ms(IDLE_TIMEOUT_MS),
            clock,
            connections: None,
            in_progress: Cell::new(0),
            max_in_progress: (descriptors * MAX_IN_PROGRESS_PERCENT / 100)
                .max(MIN_IN_PROGRESS_LIMIT),
        }
    }

    /// Takes the memory of large answers from that of `connections`.
    pub fn with_memory_of(mut self, connections: Rc<Connections>) -> Self {
        self.connections = Some(connections);
        self
    }

    /// Number of calls in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Closes the idle connections. A core that stops leading calls no workers, and each connection takes descriptors and memory at both
    /// ends.
    pub fn close(&self) {
        self.pool.clear();
    }

    /// Closes the connections that have been idle for too long.
    pub fn age_out(&self) {
        self.pool.age_out(self.clock.now_ms());
    }

    /// Sends a request and waits for the whole answer, for `limit_ms` at most.
    ///
    /// A kept connection that turns out closed is replaced at once, and the request sent again; `Answered::repeated` says so, since the first
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
        // A process that runs out of descriptors can do nothing any more, so calls wait for each other instead.
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
        if let Some(connections) = &self.connections {
            connection = connection.with_memory_of(connections.clone());
        }
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
