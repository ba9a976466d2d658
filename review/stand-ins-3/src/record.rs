//! What was sent, answered and run: the lines of `record.txt`, and the runs for the checks.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// One run of a task on a worker, as the worker saw it. Times are in milliseconds since the start of the test.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: i64,
    pub worker: String,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    /// How it ended; `lost` if its worker crashed.
    pub how: String,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
            runs: Mutex::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now_ms = self.now_ms();
        let line = format!(
            "{:>3}.{:03} {}\n",
            now_ms / 1_000,
            now_ms % 1_000,
            text.as_ref()
        );
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn started(&self, task: &str, attempt: i64, worker: &str) {
        self.line(format!("{worker} starts {task} run {attempt}"));
        self.runs.lock().unwrap().push(Run {
            task: task.to_owned(),
            attempt,
            worker: worker.to_owned(),
            started_ms: self.now_ms(),
            ended_ms: None,
            how: String::new(),
        });
    }

    pub fn ended(&self, task: &str, attempt: i64, worker: &str, how: &str) {
        self.line(format!("{worker} ends {task} run {attempt}: {how}"));
        let now_ms = self.now_ms();
        let mut runs = self.runs.lock().unwrap();
        let open = runs.iter_mut().find(|run| {
            run.task == task
                && run.attempt == attempt
                && run.worker == worker
                && run.ended_ms.is_none()
        });
        if let Some(run) = open {
            run.ended_ms = Some(now_ms);
            run.how = how.to_owned();
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// The runs of tasks whose names begin with `prefix`.
    pub fn runs_of(&self, prefix: &str) -> Vec<Run> {
        let mut runs = self.runs();
        runs.retain(|run| run.task.starts_with(prefix));
        runs
    }
}
