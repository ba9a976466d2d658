//! A writer that takes note of its progress.

use crate::connections::Slot;
use monoio::BufResult;
use monoio::buf::IoBuf;
use monoio::buf::IoVecBuf;
use monoio::io::AsyncWriteRent;
use std::io;

/// Writes to `inner`, and tells the table of connections whenever the client has taken some bytes: an answer that is being read gives way
/// after those that nobody reads.
pub(super) struct ProgressWriter<'a, W> {
    inner: &'a mut W,
    slot: &'a Slot,
}

impl<'a, W> ProgressWriter<'a, W> {
    /// Creates a writer for the connection of `slot`.
    pub fn new(inner: &'a mut W, slot: &'a Slot) -> Self {
        Self { inner, slot }
    }
}

impl<W: AsyncWriteRent> AsyncWriteRent for ProgressWriter<'_, W> {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let written = self.inner.write(buf).await;
        self.slot.note_progress();
        written
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let written = self.inner.writev(buf).await;
        self.slot.note_progress();
        written
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.inner.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.inner.shutdown().await
    }
}
