//! Log lines to standard output, limited in rate and without blocking.

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

/// Maximum number of log lines per second. The busiest leader writes about 600; more than a few times that helps no reader.
pub const MAX_LINES_PER_SECOND: u64 = 3_000;
/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 4_096;
/// Maximum number of bytes collected for one write.
const WRITE_BATCH_BYTES: usize = 32 << 10;

/// Maximum time to wait for the last lines at the end of the process, in milliseconds: a blocked reader must not keep the process alive.
const FLUSH_TIMEOUT_MS: u64 = 200;

/// Number of log lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of log lines that this process has dropped.
pub fn log_lines_dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Item for the writer thread.
enum Item {
    /// Bytes to write.
    Line(Vec<u8>),
    /// Request for a reply once everything before it is written.
    Flush(SyncSender<()>),
}

/// Number of lines in the current second.
#[derive(Debug)]
struct Window {
    began: Instant,
    lines: u64,
}

/// Formats log lines and passes them to a thread that writes them. If that thread falls behind, because the reader of the output has
/// stopped reading, lines are dropped and counted: a process must not block on its log.
#[derive(Debug)]
pub struct BoundedStdout {
    layout: Box<dyn Layout>,
    queue: SyncSender<Item>,
    window: Mutex<Window>,
    dropped: AtomicU64,
}

impl BoundedStdout {
    /// Creates an appender that formats lines with `layout`.
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

    /// Counts one more line and returns whether the limit per second still allows it.
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

    /// Returns a notice of the number of lines dropped before this one, if any.
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
        // The reader of the output is gone, so nothing more can be written.
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
        if let Some(done) = waiting {
            // The task that waited may have timed out.
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
            // After the timeout the lines are lost, as if they had been dropped.
            let _ = written.recv_timeout(Duration::from_millis(FLUSH_TIMEOUT_MS));
        }
        Ok(())
    }
}
