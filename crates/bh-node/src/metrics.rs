//! Sends metrics to a StatsD server. `docs/OPERATIONS.md` lists them with unit and type.

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

const PREFIX: &str = "beechhollow";

/// Sends counters, gauges and timers.
pub struct Metrics {
    /// `None` without an address: formatting metrics that are not sent would cost each request a few microseconds.
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Metrics of the entry `name`, sent to `address`; not sent if there is no address or no socket can be opened.
    pub fn new(name: &Arc<str>, address: Option<SocketAddr>) -> Self {
        let sink = address.and_then(|address| {
            let any = if address.is_ipv4() {
                "0.0.0.0:0"
            } else {
                "[::]:0"
            };
            let socket = UdpSocket::bind(any).ok()?;
            // When the socket buffer is full a metric is lost, which is better than blocking the event loop.
            socket.set_nonblocking(true).ok()?;
            UdpMetricSink::from(address, socket).ok()
        });
        let client = sink.map(|sink| {
            StatsdClient::builder(PREFIX, sink)
                .with_tag("entry", name)
                .build()
        });
        Self { client }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: i64) {
        if let Some(client) = &self.client {
            let _ = client.count(name, by);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
    }

    /// Records the result and duration of a short request.
    pub fn record_request(&self, customer: &str, request_type: &str, code: u32, took_ms: u64) {
        let Some(client) = &self.client else {
            return;
        };
        let code = code.to_string();
        client
            .count_with_tags("requests", 1)
            .with_tag("customer", customer)
            .with_tag("type", request_type)
            .with_tag("code", &code)
            .send();
        client
            .time_with_tags("request_ms", took_ms)
            .with_tag("customer", customer)
            .with_tag("type", request_type)
            .send();
    }
}
