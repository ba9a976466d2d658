//! An append-only file of records, which a snapshot replaces as a whole.

use crate::operation::BeforeOperation;
use crate::operation::Operation;
use crate::record;
use crate::record::Record;
use crate::record::RecordError;
use crate::record::Snapshot;
use crate::record::Vote;
use crate::recovered_state::RecoveredState;
use crate::reserve::Reserve;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::LogEntry;
use rustix::io::Errno;
use std::fmt;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::ErrorKind;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

/// Function that writes bytes at the end of a file.
pub type WriteFn = fn(&mut File, &[u8]) -> std::io::Result<()>;

/// The journal of one replication group.
pub struct Journal {
    path: PathBuf,
    file: File,
    /// Encoded records that are not written yet.
    buffer: Vec<u8>,
    /// Length in bytes of the part of the file that holds complete, synced records.
    length: u64,
    /// Length in bytes of the record with the last snapshot, and of the records before it.
    snapshot_length: u64,
    reserve: Option<Reserve>,
    write: WriteFn,
    before: BeforeOperation,
}

impl fmt::Debug for Journal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Journal")
            .field("path", &self.path)
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

impl Journal {
    /// Opens the journal at `path`, creating the file if there is none, and reads what it holds.
    ///
    /// If the last record is incomplete, the file is truncated before it and synced.
    ///
    /// # Errors
    ///
    /// [`Code::DamagedLog`] if a record before the last one is damaged, [`Code::DiskFailed`] if the file cannot be used.
    pub fn open(path: impl Into<PathBuf>) -> Result<(Journal, RecoveredState), Failure> {
        let path = path.into();
        // A crash may have left an incomplete file, which takes disk space.
        let _ = std::fs::remove_file(path.with_extension("new"));
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(disk_failed(&path, &error)),
        };
        let (records, problem) = record::decode_all(&bytes);
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .map_err(|error| disk_failed(&path, &error))?;
        match problem {
            None => {}
            Some(RecordError::TornTail { at }) => {
                truncate(&file, at).map_err(|error| disk_failed(&path, &error))?
            }
            Some(RecordError::Damaged { at }) => {
                return Err(Failure::new(
                    Code::DamagedLog,
                    format!("{} at byte {at}", path.display()),
                ));
            }
        }
        sync_parent(&path).map_err(|error| disk_failed(&path, &error))?;
        let mut recovered = RecoveredState::default();
        let (mut length, mut snapshot_length) = (0, 0);
        for record in records {
            length += record::encoded_length(&record);
            if record.snapshot.is_some() {
                snapshot_length = length;
            }
            recovered.add(record);
        }
        Ok((
            Journal {
                length: file_length(&file, &path)?,
                path,
                file,
                buffer: Vec::new(),
                snapshot_length,
                reserve: None,
                write: |file, bytes| file.write_all(bytes),
                before: Arc::new(|_| Ok(())),
            },
            recovered,
        ))
    }

    /// Length of the file in bytes, as far as it is synced.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Length in bytes of what was synced after the last snapshot was written.
    pub fn length_after_snapshot(&self) -> u64 {
        self.length.saturating_sub(self.snapshot_length)
    }

    /// Appends the term and the vote to the buffer. They are on the disk only after [`Journal::sync`].
    pub fn append_vote(&mut self, vote: Vote) {
        let record = Record {
            vote: Some(vote),
            ..Record::default()
        };
        record::encode(&record, &mut self.buffer);
    }

    /// Appends log entries to the buffer. They are on the disk only after [`Journal::sync`].
    pub fn append_entries(&mut self, entries: Vec<LogEntry>) {
        let record = Record {
            entries,
            ..Record::default()
        };
        record::encode(&record, &mut self.buffer);
    }

    /// Sets the function that writes to the file, for tests of full disks.
    pub fn with_write(mut self, write: WriteFn) -> Self {
        self.write = write;
        self
    }

    /// Sets `bytes` of disk space aside in a file of the journal's folder. They are given up when the disk is full, so that small records can
    /// still be written.
    pub fn with_reserve(mut self, bytes: usize) -> Self {
        self.reserve = Some(Reserve::new(self.path.with_extension("reserve"), bytes));
        self
    }

    /// Whether the disk has had no room for the reserve since it was given up.
    pub fn is_low_on_space(&self) -> bool {
        self.reserve
            .as_ref()
            .is_some_and(|reserve| !reserve.is_held())
    }

    /// Sets the reserve aside again if it was given up and the disk has room for it.
    pub fn restore_reserve(&mut self) {
        if let Some(reserve) = &mut self.reserve {
            reserve.hold(&*self.before);
        }
    }

    fn release_reserve(&mut self) -> bool {
        self.reserve.as_mut().is_some_and(Reserve::release)
    }

    /// Sets what is called before each operation on the disk, for tests of failing disks.
    pub fn with_before(mut self, before: BeforeOperation) -> Self {
        self.before = before;
        self
    }

    /// Writes the buffer at the end of the file.
    fn write_buffer(&mut self) -> std::io::Result<()> {
        (self.before)(Operation::Write)?;
        (self.write)(&mut self.file, &self.buffer)
    }

    /// Cuts off what a failed write has left at the end of the file.
    fn cut_incomplete_write(&self) -> Result<(), Failure> {
        (self.before)(Operation::SetLength)
            .and_then(|()| self.file.set_len(self.length))
            .map_err(|error| disk_failed(&self.path, &error))
    }

    /// Writes and syncs everything that was appended. On a full disk the reserve is given up first.
    ///
    /// A full disk may take only part of a record. The file is then truncated to its length before the call, and the records stay in the
    /// buffer, so that the next call retries them. After a failed sync the content of the disk is unknown, so there is no retry.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFull`], after which the journal is as before the call. [`Code::DiskFailed`], after which it must not be used.
    pub fn sync(&mut self) -> Result<(), Failure> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        while let Err(error) = self.write_buffer() {
            self.cut_incomplete_write()?;
            let failure = write_failed(&self.path, &error);
            if failure.code != Code::DiskFull || !self.release_reserve() {
                return Err(failure);
            }
        }
        (self.before)(Operation::Sync)
            .and_then(|()| self.file.sync_data())
            .map_err(|error| disk_failed(&self.path, &error))?;
        self.length += u64::try_from(self.buffer.len()).unwrap_or(0);
        self.buffer.clear();
        Ok(())
    }

    /// Replaces the whole journal by a snapshot, the vote and the entries after the snapshot, and syncs. On a full disk the reserve is given up
    /// first.
    ///
    /// Writes a temporary file and renames it, so that a crash leaves either the old or the new journal.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFull`], [`Code::NoDescriptors`], after which the old journal stays in use. [`Code::DiskFailed`], after which the journal
    /// must not be used.
    pub fn replace(
        &mut self,
        vote: Vote,
        snapshot: &Snapshot,
        entries: &[LogEntry],
    ) -> Result<(), Failure> {
        let record = Record {
            vote: Some(vote),
            snapshot: Some(snapshot.clone()),
            entries: entries.to_vec(),
        };
        let mut bytes = Vec::new();
        record::encode(&record, &mut bytes);
        let temporary = self.path.with_extension("new");
        let file = loop {
            match self.write_temporary(&temporary, &bytes) {
                Ok(file) => break file,
                Err(error) => {
                    // The incomplete file takes disk space that the old journal may need, and a retry writes it from the start.
                    let _ = std::fs::remove_file(&temporary);
                    let failure = write_failed(&self.path, &error);
                    if failure.code != Code::DiskFull || !self.release_reserve() {
                        return Err(failure);
                    }
                }
            }
        };
        self.file = self
            .rename_over(&file, &temporary)
            .map_err(|error| disk_failed(&self.path, &error))?;
        // The new file holds everything that was in the buffer.
        self.buffer.clear();
        self.length = u64::try_from(bytes.len()).unwrap_or(0);
        self.snapshot_length = self.length;
        Ok(())
    }

    fn write_temporary(&self, temporary: &Path, bytes: &[u8]) -> std::io::Result<File> {
        (self.before)(Operation::Create)?;
        let mut file = File::create(temporary)?;
        (self.before)(Operation::Write)?;
        (self.write)(&mut file, bytes)?;
        Ok(file)
    }

    /// Syncs the temporary file and renames it to the journal. Returns the journal, opened to append.
    fn rename_over(&self, file: &File, temporary: &Path) -> std::io::Result<File> {
        (self.before)(Operation::Sync)?;
        file.sync_all()?;
        (self.before)(Operation::Rename)?;
        std::fs::rename(temporary, &self.path)?;
        (self.before)(Operation::Sync)?;
        sync_parent(&self.path)?;
        OpenOptions::new().append(true).open(&self.path)
    }
}

fn file_length(file: &File, path: &Path) -> Result<u64, Failure> {
    file.metadata()
        .map(|metadata| metadata.len())
        .map_err(|error| disk_failed(path, &error))
}

/// Maps the error of a write to a code: a write that failed for lack of disk space or file descriptors may succeed later, any other not.
fn write_failed(path: &Path, error: &std::io::Error) -> Failure {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => {
            Failure::new(Code::DiskFull, format!("{}: {error}", path.display()))
        }
        _ if is_out_of_descriptors(error) => {
            Failure::new(Code::NoDescriptors, format!("{}: {error}", path.display()))
        }
        _ => disk_failed(path, error),
    }
}

/// Whether a file could not be opened because too many are open in this process or on the machine.
fn is_out_of_descriptors(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}

fn truncate(file: &File, at: usize) -> std::io::Result<()> {
    file.set_len(u64::try_from(at).unwrap_or(u64::MAX))?;
    file.sync_all()
}

/// Syncs the folder that holds `path`. Without this a crash may undo the creation or the renaming of the file.
pub(crate) fn sync_parent(path: &Path) -> std::io::Result<()> {
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

pub(crate) fn disk_failed(path: &Path, error: &std::io::Error) -> Failure {
    Failure::new(Code::DiskFailed, format!("{}: {error}", path.display()))
}
