//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A request that a stand-in received.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Splits a message into head, headers and body; `None` until it is complete.
fn parse(bytes: &[u8]) -> Option<(String, Vec<(String, String)>, Vec<u8>, usize)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(key, _)| key == "content-length")
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let start = end + 4;
    if bytes.len() < start + length {
        return None;
    }
    Some((
        first,
        headers,
        bytes[start..start + length].to_vec(),
        start + length,
    ))
}

/// Serves requests on `address` until `open` is false, then closes the listener and all connections. `handle` gives status and body, or
/// `None` to close the connection without an answer.
pub fn serve(
    address: SocketAddr,
    open: Arc<AtomicBool>,
    handle: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    };
    listener.set_nonblocking(true).expect("a listener");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while open.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (open, handle) = (open.clone(), handle.clone());
                    thread::spawn(move || connection(stream, &open, &*handle));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn connection(
    mut stream: TcpStream,
    open: &AtomicBool,
    handle: &dyn Fn(Request) -> Option<(u16, String)>,
) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut bytes = Vec::new();
    let mut chunk = [0; 8192];
    while open.load(Ordering::SeqCst) {
        if let Some((first, headers, body, used)) = parse(&bytes) {
            bytes.drain(..used);
            let mut words = first.split(' ');
            let request = Request {
                path: words.nth(1).unwrap_or("").to_owned(),
                headers,
                body,
            };
            let Some((status, body)) = handle(request) else {
                return;
            };
            if !open.load(Ordering::SeqCst) {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(error) => {
                use std::io::ErrorKind;
                if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) {
                    return;
                }
            }
        }
    }
}

/// Sends one request on a new connection; `None` if no whole answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    text += &format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        if let Some((first, _, body, _)) = parse(&bytes) {
            let status = first.split(' ').nth(1)?.parse().ok()?;
            return Some((status, String::from_utf8_lossy(&body).into_owned()));
        }
        let left = until.checked_duration_since(Instant::now())?;
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}
