//! Log lines to standard output, bounded in number and never waited for.

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::record::Record;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Lines in one second at most. The busiest leader measured wrote some six hundred; beyond a few times that whoever reads them is not
/// helped by more.
pub const MAX_LINES_PER_SECOND: u64 = 3_000;
/// Lines that wait to be written at most.
const MAX_QUEUED_LINES: usize = 4_096;
/// Bytes gathered for one write.
const WRITE_BATCH_BYTES: usize = 32 << 10;

/// Longest wait for the lines of a process that ends, in milliseconds: a reader that stands still must not keep it.
const FLUSH_TIMEOUT_MS: u64 = 200;

/// Lines left out since the process began.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Log lines that this process has left out so far.
pub fn log_lines_dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// What is handed to the writing thread.
enum Item {
    /// Bytes to write.
    Line(Vec<u8>),
    /// Whoever waits until everything before is written.
    Flush(SyncSender<()>),
}

/// One second of lines.
#[derive(Debug)]
struct Window {
    began: Instant,
    lines: u64,
}

/// Formats lines and hands them to a thread that writes them. When that thread does not keep up, because whoever reads the output has
/// stopped reading, lines are dropped and counted: a process must not stand still for its log.
#[derive(Debug)]
pub struct BoundedStdout {
    layout: Box<dyn Layout>,
    queue: SyncSender<Item>,
    window: Mutex<Window>,
    dropped: AtomicU64,
}

impl BoundedStdout {
    /// Lines laid out by `layout`.
    pub fn new(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        thread::spawn(move || write_all(&lines));
        Self {
            layout: layout.into(),
            queue,
            window: Mutex::new(Window {
                began: Instant::now(),
                lines: 0,
            }),
            dropped: AtomicU64::new(0),
        }
    }

    /// Whether one more line may be written in this second.
    fn allows_line(&self) -> bool {
        let Ok(mut window) = self.window.lock() else {
            return false;
        };
        if window.began.elapsed().as_secs() >= 1 {
            window.began = Instant::now();
            window.lines = 0;
        }
        window.lines += 1;
        window.lines <= MAX_LINES_PER_SECOND
    }

    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }

    /// Says how many lines were left out before this one, if any.
    fn dropped_notice(&self) -> Option<Vec<u8>> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        (dropped > 0).then(|| format!("{dropped} log lines were left out here\n").into_bytes())
    }
}

fn write_all(items: &Receiver<Item>) {
    let mut out = std::io::stdout();
    while let Ok(first) = items.recv() {
        let (mut bytes, mut waiting) = (Vec::new(), None);
        let mut next = Some(first);
        while let Some(item) = next {
            match item {
                Item::Line(line) => bytes.extend_from_slice(&line),
                Item::Flush(done) => waiting = Some(done),
            }
            let more = bytes.len() < WRITE_BATCH_BYTES && waiting.is_none();
            next = more.then(|| items.try_recv().ok()).flatten();
        }
        // Whoever read the output is gone; there is nobody left to tell.
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
        if let Some(done) = waiting {
            // Whoever waited may have given up.
            let _ = done.try_send(());
        }
    }
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !self.allows_line() {
            self.count_dropped();
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if let Some(mut notice) = self.dropped_notice() {
            notice.extend_from_slice(&line);
            line = notice;
        }
        if self.queue.try_send(Item::Line(line)).is_err() {
            self.count_dropped();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, written) = sync_channel(1);
        if self.queue.try_send(Item::Flush(done)).is_ok() {
            // Past this the lines are lost, as when they had not been taken at all.
            let _ = written.recv_timeout(Duration::from_millis(FLUSH_TIMEOUT_MS));
        }
        Ok(())
    }
}
