//! Why a request gets no memory.

/// Why a request gets no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// It would not fit even if no other request were there.
    TooLarge,
    /// Other requests hold the memory; it may fit later.
    Busy,
}
