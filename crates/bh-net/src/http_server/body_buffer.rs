//! Buffer of a body whose memory is taken from the table of connections as it grows.

use super::read_error::ReadError;
use crate::connections::Slot;
use bytes::Bytes;

/// Capacity of the first allocation, in bytes.
const FIRST_BYTES: usize = 4 << 10;

/// The bytes of a body that have been read so far.
pub(super) struct BodyBuffer<'a> {
    slot: &'a Slot,
    bytes: Vec<u8>,
    /// Size that the body has at most.
    max_bytes: usize,
}

impl<'a> BodyBuffer<'a> {
    /// Creates an empty buffer for a body of at most `max_bytes`.
    pub fn new(slot: &'a Slot, max_bytes: usize) -> Self {
        Self {
            slot,
            bytes: Vec::new(),
            max_bytes,
        }
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// If there is no memory for them.
    pub async fn extend(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        let len = self.bytes.len() + bytes.len();
        if len > self.bytes.capacity() {
            self.grow(len).await?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Grows to hold `len` bytes at least. While the bytes are copied, both allocations are held.
    async fn grow(&mut self, len: usize) -> Result<(), ReadError> {
        let old = self.bytes.capacity();
        let doubled = (2 * old).max(FIRST_BYTES).min(self.max_bytes);
        let capacity = doubled.max(len);
        let held = self.slot.bytes();
        let size = |bytes: usize| u64::try_from(bytes).unwrap_or(u64::MAX);
        self.slot.grow(size(capacity)).await?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.slot.shrink_to(held + size(capacity) - size(old));
        Ok(())
    }

    /// The complete body.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from(self.bytes)
    }
}
