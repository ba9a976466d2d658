//! The record of a case: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    since: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record"))),
            since: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(
            file,
            "{:8.3} {}",
            self.since.elapsed().as_secs_f64(),
            text.as_ref()
        );
    }
}
