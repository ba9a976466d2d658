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
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

/// The journal of one replication group.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    buffer: Vec<u8>,
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
                path,
                file,
                buffer: Vec::new(),
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

    /// Writes and syncs all that was appended.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`]. The journal must not be used after that: what the disk holds is not known.
    pub fn sync(&mut self) -> Result<(), Failure> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let written = self
            .file
            .write_all(&self.buffer)
            .and_then(|()| self.file.sync_data());
        self.buffer.clear();
        written.map_err(|error| disk_failed(&self.path, &error))
    }

    /// Replaces the whole journal by a snapshot, the vote and the entries after the snapshot, synced.
    ///
    /// The new file is written aside and renamed, so that a crash leaves either the old or the new one.
    ///
    /// # Errors
    ///
    /// [`Code::DiskFailed`].
    pub fn replace(
        &mut self,
        vote: Vote,
        snapshot: Snapshot,
        entries: Vec<LogEntry>,
    ) -> Result<(), Failure> {
        let record = Record {
            vote: Some(vote),
            snapshot: Some(snapshot),
            entries,
        };
        let mut bytes = Vec::new();
        record::encode(&record, &mut bytes);
        self.buffer.clear();
        let aside = self.path.with_extension("new");
        self.file = write_aside(&aside, &self.path, &bytes)
            .map_err(|error| disk_failed(&self.path, &error))?;
        Ok(())
    }
}

fn write_aside(aside: &Path, path: &Path, bytes: &[u8]) -> std::io::Result<File> {
    let mut file = File::create(aside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(aside, path)?;
    sync_parent(path)?;
    OpenOptions::new().append(true).open(path)
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
