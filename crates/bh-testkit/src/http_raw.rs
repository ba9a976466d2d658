//! A simple blocking HTTP client for tests that can also send malformed requests.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// An answer as it was received.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// HTTP status, or 0 if no answer was received.
    pub status: u16,
    /// Status line and headers as text.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl RawAnswer {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }

    /// The number of the result code, if the answer has one.
    pub fn code(&self) -> Option<u32> {
        self.header("x-result-code")?.parse().ok()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON, or null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends `bytes` unchanged and reads one answer. The answer has status 0 if none is received within `limit`.
pub fn send_bytes(address: SocketAddr, bytes: &[u8], limit: Duration) -> RawAnswer {
    let none = RawAnswer {
        status: 0,
        head: String::new(),
        body: Vec::new(),
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
        return none;
    };
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(bytes).is_err() {
        return none;
    }
    read_answer(&mut stream).unwrap_or(none)
}

/// Reads one answer, whose length its `Content-Length` tells.
pub fn read_answer(stream: &mut TcpStream) -> Option<RawAnswer> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 << 10];
    loop {
        if let Some(answer) = parse(&bytes) {
            return Some(answer);
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

fn parse(bytes: &[u8]) -> Option<RawAnswer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status: u16 = head.split_whitespace().nth(1)?.parse().ok()?;
    if status == 100 {
        return parse(&bytes[end..]);
    }
    let answer = RawAnswer {
        status,
        head,
        body: Vec::new(),
    };
    let length: usize = answer.header("content-length")?.parse().ok()?;
    let body = bytes.get(end..end + length)?;
    Some(RawAnswer {
        body: body.to_vec(),
        ..answer
    })
}

/// Sends a well-formed request.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> RawAnswer {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    send_bytes(address, &bytes, limit)
}

/// Default timeout for an answer in tests.
pub const LIMIT: Duration = Duration::from_secs(10);

/// Sends a GET request.
pub fn get(address: SocketAddr, path: &str) -> RawAnswer {
    send(address, "GET", path, &[], &[], LIMIT)
}

/// Sends a POST request.
pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &[u8]) -> RawAnswer {
    send(address, "POST", path, headers, body, LIMIT)
}
