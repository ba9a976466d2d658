//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:7.3} s  {text}", now_ms as f64 / 1000.0);
    }
}
