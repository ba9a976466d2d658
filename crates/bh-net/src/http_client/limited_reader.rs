//! A reader that bounds the bytes of one answer.

use crate::connections::Slot;
use monoio::BufResult;
use monoio::buf::IoBufMut;
use monoio::buf::IoVecBufMut;
use monoio::buf::IoVecWrapperMut;
use monoio::io::AsyncReadRent;
use std::cell::Cell;
use std::io;

/// Bytes of an answer that are read without memory of the account: most answers have no more.
const FREE_BYTES: u64 = 64 << 10;
/// Copies of the bytes: the decoder's, and the body.
const COPIES: u64 = 2;

/// Reads at most a number of bytes from `inner`. The decoders of `monoio-http` keep reading until a head or a chunk is complete, however
/// large it says it is.
pub(super) struct LimitedReader<'a, R> {
    inner: &'a mut R,
    left: u64,
    read: u64,
    memory: Option<Slot>,
    exceeded: &'a Cell<bool>,
}

impl<'a, R> LimitedReader<'a, R> {
    /// Creates a reader of at most `max_bytes`, which takes memory for them from `memory`. `exceeded` is set once there is more.
    pub fn new(
        inner: &'a mut R,
        max_bytes: u64,
        memory: Option<Slot>,
        exceeded: &'a Cell<bool>,
    ) -> Self {
        Self {
            inner,
            left: max_bytes,
            read: 0,
            memory,
            exceeded,
        }
    }

    /// Accounts for `count` bytes that were read; returns whether they may be kept.
    async fn take(&mut self, count: u64) -> bool {
        let Some(left) = self.left.checked_sub(count) else {
            return false;
        };
        self.left = left;
        self.read += count;
        match &self.memory {
            Some(slot) if self.read > FREE_BYTES => slot
                .grow_complete(count.saturating_mul(COPIES))
                .await
                .is_ok(),
            _ => true,
        }
    }
}

impl<R: AsyncReadRent> AsyncReadRent for LimitedReader<'_, R> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.inner.read(buf).await;
        let Ok(count) = result else {
            return (result, buf);
        };
        if self.take(u64::try_from(count).unwrap_or(u64::MAX)).await {
            return (Ok(count), buf);
        }
        self.exceeded.set(true);
        (Err(io::ErrorKind::InvalidData.into()), buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        match IoVecWrapperMut::new(buf) {
            Ok(wrapper) => {
                let (result, wrapper) = self.read(wrapper).await;
                (result, wrapper.into_inner())
            }
            Err(buf) => (Ok(0), buf),
        }
    }
}
