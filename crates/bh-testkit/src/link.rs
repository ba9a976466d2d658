//! A TCP proxy between two addresses that can be cut or delayed, and can silence or close only the open connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct Control {
    cut: AtomicBool,
    delay_us: AtomicU64,
    /// Connections opened before this generation stay open and forward nothing.
    silent_before: AtomicU64,
    generation: AtomicU64,
    /// Number of connections opened so far, and the number of the next one.
    opened: AtomicU64,
    /// Open connections with an odd number below this one are closed.
    closed_odd_below: AtomicU64,
    /// Open connections with an even number below this one are closed.
    closed_even_below: AtomicU64,
    forwarded: AtomicU64,
}

/// A proxy that forwards connections to an address.
pub struct Link {
    address: SocketAddr,
    control: Arc<Control>,
}

impl Link {
    /// A link that listens on `from` and forwards to `to`.
    ///
    /// # Panics
    ///
    /// When `from` cannot be listened on.
    pub fn start(from: SocketAddr, to: SocketAddr) -> Link {
        let listener = TcpListener::bind(from).expect("the link's address is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let control = Arc::new(Control::default());
        let shared = control.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let control = shared.clone();
                thread::spawn(move || forward(stream, to, &control));
            }
        });
        Link { address, control }
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link or restores it. While it is cut, nothing is forwarded, and open and new connections are closed.
    pub fn set_cut(&self, cut: bool) {
        self.control.cut.store(cut, Ordering::SeqCst);
    }

    /// Delays the bytes of each direction by this long.
    pub fn set_delay(&self, delay: Duration) {
        self.control.delay_us.store(
            u64::try_from(delay.as_micros()).unwrap_or(u64::MAX),
            Ordering::SeqCst,
        );
    }

    /// Makes all open connections silent for good: they stay open and forward nothing. New connections work.
    pub fn silence_open_connections(&self) {
        let next = self.control.generation.fetch_add(1, Ordering::SeqCst) + 1;
        self.control.silent_before.store(next, Ordering::SeqCst);
    }

    /// Closes the open connections with odd numbers, or those with even numbers. Bytes already forwarded stay
    /// delivered, so an order may have been carried out; bytes not yet forwarded are lost. New connections work.
    pub fn close_open_connections(&self, odd: bool) {
        let below = if odd {
            &self.control.closed_odd_below
        } else {
            &self.control.closed_even_below
        };
        let opened = self.control.opened.load(Ordering::SeqCst);
        below.store(opened, Ordering::SeqCst);
    }

    /// Bytes forwarded so far, in both directions.
    pub fn forwarded(&self) -> u64 {
        self.control.forwarded.load(Ordering::SeqCst)
    }
}

impl Control {
    fn is_closed(&self, number: u64) -> bool {
        let below = if number % 2 == 1 {
            &self.closed_odd_below
        } else {
            &self.closed_even_below
        };
        number < below.load(Ordering::SeqCst) || self.cut.load(Ordering::SeqCst)
    }
}

fn forward(stream: TcpStream, to: SocketAddr, control: &Arc<Control>) {
    if control.cut.load(Ordering::SeqCst) {
        return;
    }
    let Ok(upstream) = TcpStream::connect(to) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let number = control.opened.fetch_add(1, Ordering::SeqCst);
    let generation = control.generation.load(Ordering::SeqCst);
    let (Ok(stream_clone), Ok(upstream_clone)) = (stream.try_clone(), upstream.try_clone()) else {
        return;
    };
    let control_clone = control.clone();
    thread::spawn(move || {
        forward_bytes(
            upstream_clone,
            stream_clone,
            &control_clone,
            (number, generation),
        )
    });
    forward_bytes(stream, upstream, control, (number, generation));
}

fn forward_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    control: &Control,
    (number, generation): (u64, u64),
) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut chunk = vec![0; 64 << 10];
    loop {
        if control.is_closed(number) {
            break;
        }
        let count = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        if generation < control.silent_before.load(Ordering::SeqCst)
            || control.cut.load(Ordering::SeqCst)
        {
            continue;
        }
        let delay_us = control.delay_us.load(Ordering::SeqCst);
        if delay_us > 0 {
            thread::sleep(Duration::from_micros(delay_us));
        }
        control
            .forwarded
            .fetch_add(u64::try_from(count).unwrap_or(0), Ordering::SeqCst);
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
