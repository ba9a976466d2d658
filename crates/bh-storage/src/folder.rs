//! The data folder, which holds the identity of its VM's replicas.

use crate::journal::Journal;
use crate::journal::disk_failed;
use crate::journal::sync_parent;
use crate::recovered_state::RecoveredState;
use bh_protocol::Code;
use bh_protocol::Failure;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

const IDENTITY_FILE: &str = "identity";

/// A data folder in use by this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    replica_id: u64,
    _lock: File,
}

impl Folder {
    /// Opens the folder at `path` for the VM `name`, creating the folder if there is none.
    ///
    /// The first opening draws a random replica identity and syncs it. A folder that was emptied therefore gets a new identity. The old
    /// identity is never used again, so no replica votes twice in a term or forgets entries that it acknowledged.
    ///
    /// # Errors
    ///
    /// [`Code::FolderInUse`] if the folder belongs to another VM or another process uses it, [`Code::DiskFailed`].
    pub fn open(path: impl Into<PathBuf>, name: &str) -> Result<Folder, Failure> {
        let path = path.into();
        std::fs::create_dir_all(&path).map_err(|error| disk_failed(&path, &error))?;
        let lock = File::create(path.join("lock")).map_err(|error| disk_failed(&path, &error))?;
        if lock.try_lock().is_err() {
            return Err(Failure::new(
                Code::FolderInUse,
                format!("{} is in use by another process", path.display()),
            ));
        }
        let replica_id = match read_identity(&path)? {
            Some((owner, replica_id)) if owner == name => replica_id,
            Some((owner, _)) => {
                return Err(Failure::new(
                    Code::FolderInUse,
                    format!("{} belongs to VM `{owner}`, not `{name}`", path.display()),
                ));
            }
            None => write_identity(&path, name)?,
        };
        Ok(Folder {
            path,
            replica_id,
            _lock: lock,
        })
    }

    /// Identity of the replicas in this folder.
    pub fn replica_id(&self) -> u64 {
        self.replica_id
    }

    /// Opens the journal of `group`. Its file name is the group's name with `_` for `/`.
    ///
    /// # Errors
    ///
    /// Those of [`Journal::open`].
    pub fn journal(&self, group: &str) -> Result<(Journal, RecoveredState), Failure> {
        Journal::open(
            self.path
                .join(format!("{}.journal", group.replace('/', "_"))),
        )
    }

    /// Path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

/// A random replica identity, which is never 0.
///
/// # Errors
///
/// [`Code::Internal`] if the system gives no random numbers.
pub fn random_replica_id() -> Result<u64, Failure> {
    let number = getrandom::u64()
        .map_err(|error| Failure::new(Code::Internal, format!("no random numbers: {error}")))?;
    Ok(number.max(1))
}

fn read_identity(path: &Path) -> Result<Option<(String, u64)>, Failure> {
    let file = path.join(IDENTITY_FILE);
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(disk_failed(&file, &error)),
    };
    let parsed = text
        .trim()
        .split_once(' ')
        .and_then(|(name, id)| Some((name.to_owned(), u64::from_str_radix(id, 16).ok()?)));
    match parsed {
        Some(identity) => Ok(Some(identity)),
        None => Err(Failure::new(
            Code::DamagedLog,
            format!("{} at byte 0", file.display()),
        )),
    }
}

fn write_identity(path: &Path, name: &str) -> Result<u64, Failure> {
    let replica_id = random_replica_id()?;
    let file = path.join(IDENTITY_FILE);
    let temporary = path.join("identity.new");
    let write = || -> std::io::Result<()> {
        let mut handle = File::create(&temporary)?;
        handle.write_all(format!("{name} {replica_id:016x}\n").as_bytes())?;
        handle.sync_all()?;
        std::fs::rename(&temporary, &file)?;
        sync_parent(&file)?;
        sync_parent(path)
    };
    write().map_err(|error| disk_failed(&file, &error))?;
    Ok(replica_id)
}
