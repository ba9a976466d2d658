//! HTTP/1.1 by hand: one request on a connection of its own, and a reader of requests for servers.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        headers,
        body: String::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8(body).ok()?;
    Some(message)
}

/// Status and body of the response; `None` if there is no complete one in time.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> Option<(u16, Message)> {
    let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.set_write_timeout(Some(within)).ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Type: application/json\r\n"
    );
    if !headers
        .iter()
        .any(|(key, _)| key.eq_ignore_ascii_case("host"))
    {
        text += &format!("Host: {address}\r\n");
    }
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let response = read(&mut BufReader::new(stream))?;
    let status = response.first.split(' ').nth(1)?.parse().ok()?;
    Some((status, response))
}
