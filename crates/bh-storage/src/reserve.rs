//! Disk space that is set aside for a full disk.

use crate::operation::Operation;
use std::fs::File;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

/// Size of one write while the file is filled, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// A file whose space is given up when the disk is full, so that small records can still be written.
#[derive(Debug)]
pub struct Reserve {
    path: PathBuf,
    bytes: usize,
    is_held: bool,
}

impl Reserve {
    /// Sets `bytes` aside in the file at `path`, if the disk has room for them.
    pub fn new(path: impl Into<PathBuf>, bytes: usize) -> Self {
        let mut reserve = Self {
            path: path.into(),
            bytes,
            is_held: false,
        };
        reserve.hold(&|_| Ok(()));
        reserve
    }

    /// Whether the space is set aside.
    pub fn is_held(&self) -> bool {
        self.is_held
    }

    /// Sets the space aside again, if the disk has room for it. `before` is called before the file is written.
    pub fn hold(&mut self, before: &dyn Fn(Operation) -> io::Result<()>) {
        if self.is_held {
            return;
        }
        let held = before(Operation::Reserve).and_then(|()| fill(&self.path, self.bytes));
        self.is_held = held.is_ok();
        if !self.is_held {
            // The incomplete file takes space that records may need.
            let _ = std::fs::remove_file(&self.path);
        }
    }

    /// Gives the space up. Returns whether there was any.
    pub fn release(&mut self) -> bool {
        let was_held = std::mem::take(&mut self.is_held);
        was_held && std::fs::remove_file(&self.path).is_ok()
    }
}

/// Writes `bytes` zeros to the file at `path`, unless it has that size already.
fn fill(path: &Path, bytes: usize) -> io::Result<()> {
    let length = u64::try_from(bytes).unwrap_or(u64::MAX);
    if std::fs::metadata(path).is_ok_and(|metadata| metadata.len() == length) {
        return Ok(());
    }
    let mut file = File::create(path)?;
    let zeros = vec![0; WRITE_BYTES.min(bytes)];
    let mut left = bytes;
    while left > 0 {
        let next = left.min(zeros.len());
        file.write_all(&zeros[..next])?;
        left -= next;
    }
    file.sync_all()
}
