//! Operations on the disk, as tests can make them fail.

use std::io;
use std::sync::Arc;

/// An operation of a journal on its folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Creates the temporary file that replaces the journal.
    Create,
    /// Writes to a file.
    Write,
    /// Syncs a file or the folder.
    Sync,
    /// Sets the length of the journal.
    SetLength,
    /// Writes the file of the reserve.
    Reserve,
    /// Renames the temporary file to the journal.
    Rename,
}

/// Called before each operation. An error takes the place of the operation.
pub type BeforeOperation = Arc<dyn Fn(Operation) -> io::Result<()> + Send + Sync>;
