//! Talks to the first entry that takes a connection.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Entries to ask, and how.
pub struct Client {
    entries: Vec<SocketAddr>,
    token: Option<String>,
    timeout_ms: u64,
}

impl Client {
    /// As the global options say.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedBody`] for an address that is no IP number and port.
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

    /// How long a call may take, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Reads JSON.
    ///
    /// # Errors
    ///
    /// The entry's failure, or [`Code::Unreachable`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let response = self.call("GET", path, Bytes::new(), &[]).await?;
        parse(response.body())
    }

    /// Sends JSON and reads JSON.
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

    /// Sends a request to the first entry that takes a connection. Once it is sent no other entry is tried: it may
    /// have been acted on.
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
                .send(request, self.timeout_ms, MAX_ANSWER_BYTES)
                .await
                .map_err(|error| lost(*address, error))?;
            return check(response);
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

fn lost(address: SocketAddr, error: SendError) -> Failure {
    Failure::new(Code::Unreachable, format!("{address}: {error}"))
}

fn check(response: Response<Bytes>) -> Result<Response<Bytes>, Failure> {
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

/// Reads JSON.
///
/// # Errors
///
/// [`Code::Unreachable`] when the answer is something else, such as another version's.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes).map_err(|error| {
        Failure::new(
            Code::Unreachable,
            format!("the answer cannot be read: {error}"),
        )
    })
}
