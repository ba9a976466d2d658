//! HTTP/1.1 over blocking sockets: a client call, and a server with one thread for each connection.

use crate::json::Json;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Json,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// Closes the connection without an answer.
    Close,
    /// Leaves the connection open without an answer.
    Silence,
}

fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, Vec<(String, String)>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((
        first.trim_end().to_owned(),
        headers,
        String::from_utf8(body).ok()?,
    ))
}

/// Sends one request on a new connection. `None` if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Json>,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let body = body.map(Json::to_string).unwrap_or_default();
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    text += &format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}

type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// A server that stops listening, and breaks its connections, when it is dropped.
pub struct Server {
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let listener = bind(address);
        listener
            .set_nonblocking(true)
            .expect("a listener that is polled");
        let stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler: Handler = Arc::new(handler);
        let (ending, list) = (stopped.clone(), open.clone());
        let thread = thread::spawn(move || {
            while !ending.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    list.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                let _ = thread::Builder::new()
                    .stack_size(256 << 10)
                    .spawn(move || serve(stream, &handler));
            }
        });
        Server {
            stopped,
            open,
            thread: Some(thread),
        }
    }
}

impl Server {
    /// Refuses new connections; the open ones stay.
    pub fn stop_listening(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A connection that is kept open.
pub struct Connection {
    address: SocketAddr,
    stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { address, stream })
    }

    /// Sends a request. Waits for the answer for `timeout`, or not at all if that is zero.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&Json>,
        timeout: Duration,
    ) -> Option<(u16, Json)> {
        let body = body.map(Json::to_string).unwrap_or_default();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        self.stream.write_all(text.as_bytes()).ok()?;
        if timeout.is_zero() {
            return None;
        }
        self.stream.set_read_timeout(Some(timeout)).ok()?;
        let (first, _, body) = read_message(&mut BufReader::new(self.stream.try_clone().ok()?))?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((status, Json::parse(&body).unwrap_or(Json::Null)))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..500 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{address} is in use");
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let request = Request {
            method: words.next().unwrap_or("").to_owned(),
            path: words.next().unwrap_or("").to_owned(),
            headers,
            body: Json::parse(&body).unwrap_or(Json::Null),
        };
        let (status, answer) = match handler(request) {
            Reply::Answer(status, answer) => (status, answer),
            Reply::Close => break,
            Reply::Silence => {
                thread::sleep(Duration::from_secs(60));
                break;
            }
        };
        let answer = answer.to_string();
        let text = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}
