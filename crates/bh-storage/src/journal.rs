//! An append-only file of records, replaced as a whole when a snapshot is taken.

use crate::record;
use crate::record::Record;
use crate::record::RecordError;
use crate::record::Snapshot;
use crate::record::Vote;
use crate::recovered::Recovered;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::LogEntry;
use rustix::io::Errno;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::ErrorKind;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

/// Writes bytes at the end of a file.
pub type Write = fn(&mut File, &[u8]) -> std::io::Result<()>;

/// The journal of one replication group.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    buffer: Vec<u8>,
    /// Bytes of the file that hold whole, synced records.
    length: u64,
    write: Write,
}

impl Journal {
    /// Opens the journal at `path`, creating it when there is none, and reads back what it holds.
    ///
    /// A torn last record is cut off and the file synced.
    ///
    /// # Errors
    ///
    /// [`Code::DamagedLog`] for a bad record before the end, [`Code::DiskFailed`] when the file cannot be used.
    pub fn open(path: impl Into<PathBuf>) -> Result<(Journal, Recovered), Failure> {
        let path = path.into();
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
                cut(&file, at).map_err(|error| disk_failed(&path, &error))?
            }
            Some(RecordError::Damaged { at }) => {
                return Err(Failure::new(
                    Code::DamagedLog,
                    format!("{} at byte {at}", path.display()),
                ));
            }
        }
        sync_parent(&path).map_err(|error| disk_failed(&path, &error))?;
        let mut recovered = Recovered::default();
        for record in records {
            recovered.add(record);
        }
        Ok((
            Journal {
                length: file_length(&file, &path)?,
                path,
                file,
                buffer: Vec::new(),
                write: |file, bytes| file.write_all(bytes),
            },
            recovered,
        ))
    }

    /// Appends term and vote. Not kept before [`Journal::sync`].
    pub fn append_vote(&mut self, vote: Vote) {
        let record = Record {
            vote: Some(vote),
            ..Record::default()
        };
        record::encode(&record, &mut self.buffer);
    }

    /// Appends log entries. Not kept before [`Journal::sync`].
    pub fn append_entries(&mut self, entries: Vec<LogEntry>) {
        let record = Record {
            entries,
            ..Record::default()
        };
        record::encode(&record, &mut self.buffer);
    }

    /// Writes by `write` in place of the system's call, for tests of full disks.
    pub fn with_write(mut self, write: Write) -> Self {
        self.write = write;
        self
    }

    /// Writes and syncs all that was appended.
    ///
    /// A full disk takes part of a record. That part is cut off again, and what was appended stays to be written once there is room:
    /// the next call tries again. After a failed sync the disk may hold anything, so that is final.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFull`], after which the journal is as before the call. [`Code::DiskFailed`], after which it must not be used.
    pub fn sync(&mut self) -> Result<(), Failure> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        if let Err(error) = (self.write)(&mut self.file, &self.buffer) {
            self.file
                .set_len(self.length)
                .map_err(|error| disk_failed(&self.path, &error))?;
            return Err(write_failed(&self.path, &error));
        }
        self.file
            .sync_data()
            .map_err(|error| disk_failed(&self.path, &error))?;
        self.length += u64::try_from(self.buffer.len()).unwrap_or(0);
        self.buffer.clear();
        Ok(())
    }

    /// Replaces the whole journal by a snapshot, the vote and the entries after the snapshot, synced.
    ///
    /// The new file is written aside and renamed, so that a crash leaves either the old or the new one.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFull`], [`Code::NoDescriptors`], after which the old journal is still in force. [`Code::DiskFailed`].
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
        let aside = self.path.with_extension("new");
        let written = File::create(&aside).and_then(|mut file| {
            (self.write)(&mut file, &bytes)?;
            Ok(file)
        });
        let file = match written {
            Ok(file) => file,
            Err(error) => {
                // What was written of it takes room that the old journal may need; it is written anew in any case.
                let _ = std::fs::remove_file(&aside);
                return Err(write_failed(&self.path, &error));
            }
        };
        self.file = put_in_place(&file, &aside, &self.path)
            .map_err(|error| disk_failed(&self.path, &error))?;
        // The record holds all that was appended before.
        self.buffer.clear();
        self.length = u64::try_from(bytes.len()).unwrap_or(0);
        Ok(())
    }
}

fn put_in_place(file: &File, aside: &Path, path: &Path) -> std::io::Result<File> {
    file.sync_all()?;
    std::fs::rename(aside, path)?;
    sync_parent(path)?;
    OpenOptions::new().append(true).open(path)
}

fn file_length(file: &File, path: &Path) -> Result<u64, Failure> {
    file.metadata()
        .map(|metadata| metadata.len())
        .map_err(|error| disk_failed(path, &error))
}

/// A write that failed for want of room or of descriptors may succeed later; any other failure is final.
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

/// Whether a file could not be opened because too many are open, in this process or on the machine.
fn is_out_of_descriptors(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}

fn cut(file: &File, at: usize) -> std::io::Result<()> {
    file.set_len(u64::try_from(at).unwrap_or(u64::MAX))?;
    file.sync_all()
}

/// Syncs the folder that holds `path`: without that a crash may forget that the file was created or renamed.
pub(crate) fn sync_parent(path: &Path) -> std::io::Result<()> {
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

pub(crate) fn disk_failed(path: &Path, error: &std::io::Error) -> Failure {
    Failure::new(Code::DiskFailed, format!("{}: {error}", path.display()))
}
