//! HTTP client for the first entry that accepts a connection.

use bh_net::http_client::Connection;
use bh_net::http_client::SendError;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::failure::FailureAnswer;
use bytes::Bytes;
use clap::ArgMatches;
use http::Request;
use http::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Size limit of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// The entries to call, with the token and timeout of each call.
pub struct Client {
    entries: Vec<SocketAddr>,
    token: Option<String>,
    timeout_ms: u64,
}

impl Client {
    /// Creates a client from the global options.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedBody`] for an address that is not an IP address and a port.
    pub fn new(matches: &ArgMatches) -> Result<Client, Failure> {
        let mut entries = Vec::new();
        for text in matches.get_many::<String>("entry").into_iter().flatten() {
            let address = text.parse().map_err(|_| {
                Failure::new(
                    Code::MalformedBody,
                    format!("--entry `{text}` is not an IP number and a port"),
                )
            })?;
            entries.push(address);
        }
        Ok(Client {
            entries,
            token: matches.get_one::<String>("token").cloned(),
            timeout_ms: matches
                .get_one::<u64>("timeout-ms")
                .copied()
                .unwrap_or(10_000),
        })
    }

    /// Timeout of a call in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Sends a GET request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// The entry's failure, or [`Code::Unreachable`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let response = self.call("GET", path, Bytes::new(), &[]).await?;
        parse(response.body())
    }

    /// Sends a POST request with a JSON body and parses the JSON response.
    ///
    /// # Errors
    ///
    /// The entry's failure, or [`Code::Unreachable`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
        let response = self
            .call(
                "POST",
                path,
                Bytes::from(body),
                &[("content-type", "application/json")],
            )
            .await?;
        parse(response.body())
    }

    /// Sends a request to the first entry that accepts a connection. Once the request is sent, no other entry is tried,
    /// since the first one may have acted on the request.
    ///
    /// # Errors
    ///
    /// The entry's failure, or [`Code::Unreachable`].
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        headers: &[(&str, &str)],
    ) -> Result<Response<Bytes>, Failure> {
        for address in &self.entries {
            let Ok(mut connection) = Connection::open(*address, self.timeout_ms).await else {
                continue;
            };
            let request = self.request(method, path, body, headers, *address)?;
            let response = connection
                .send(request, self.timeout_ms, MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| connection_failure(*address, error))?;
            return check_result(response);
        }
        let tried: Vec<String> = self.entries.iter().map(SocketAddr::to_string).collect();
        Err(Failure::new(
            Code::Unreachable,
            format!("no entry takes a connection; tried {}", tried.join(", ")),
        ))
    }

    fn request(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        headers: &[(&str, &str)],
        address: SocketAddr,
    ) -> Result<Request<Bytes>, Failure> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string());
        if let Some(token) = &self.token {
            builder = builder.header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        builder
            .body(body)
            .map_err(|error| Failure::new(Code::MalformedHead, error.to_string()))
    }
}

/// The failure for a connection that broke before the response was complete.
fn connection_failure(address: SocketAddr, error: SendError) -> Failure {
    Failure::new(Code::Unreachable, format!("{address}: {error}"))
}

/// Turns a response whose result code is not `Done` into a failure.
fn check_result(response: Response<Bytes>) -> Result<Response<Bytes>, Failure> {
    let code = response
        .headers()
        .get(bh_protocol::request::RESULT_CODE)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    if code == Some(Code::Done.number()) {
        return Ok(response);
    }
    match serde_json::from_slice::<FailureAnswer>(response.body()) {
        Ok(answer) => Err(answer.into()),
        Err(_) => Err(Failure::new(
            Code::Unreachable,
            format!("status {} without a result code", response.status()),
        )),
    }
}

/// Parses a JSON response.
///
/// # Errors
///
/// [`Code::Unreachable`] for anything but the expected JSON, such as the response of another version.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes).map_err(|error| {
        Failure::new(
            Code::Unreachable,
            format!("the answer cannot be read: {error}"),
        )
    })
}
