//! What a connection must give way for.

/// What a connection must give way for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Another connection.
    Connection,
    /// The memory of another request or answer.
    Memory,
}
