//! One half of a connection, shared by the codec of `monoio-http` and the code that refuses requests.

use monoio::BufResult;
use monoio::buf::IoBuf;
use monoio::buf::IoBufMut;
use monoio::buf::IoVecBuf;
use monoio::buf::IoVecBufMut;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// A handle to one half of a connection. Only one handle can use the half at a time: it takes the half out and puts it back.
pub(super) struct Shared<H> {
    half: Rc<Cell<Option<H>>>,
}

impl<H> Clone for Shared<H> {
    fn clone(&self) -> Self {
        Self {
            half: self.half.clone(),
        }
    }
}

impl<H> Shared<H> {
    pub fn new(half: H) -> Self {
        Self {
            half: Rc::new(Cell::new(Some(half))),
        }
    }

    fn take(&self) -> io::Result<H> {
        self.half
            .take()
            .ok_or_else(|| io::Error::other("the connection is in use"))
    }
}

impl<H: AsyncWriteRent> AsyncWriteRent for Shared<H> {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let mut half = match self.take() {
            Ok(half) => half,
            Err(error) => return (Err(error), buf),
        };
        let result = half.write(buf).await;
        self.half.set(Some(half));
        result
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let mut half = match self.take() {
            Ok(half) => half,
            Err(error) => return (Err(error), buf),
        };
        let result = half.writev(buf).await;
        self.half.set(Some(half));
        result
    }

    async fn flush(&mut self) -> io::Result<()> {
        let mut half = self.take()?;
        let result = half.flush().await;
        self.half.set(Some(half));
        result
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        let mut half = self.take()?;
        let result = half.shutdown().await;
        self.half.set(Some(half));
        result
    }
}

impl<H: AsyncReadRent> AsyncReadRent for Shared<H> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let mut half = match self.take() {
            Ok(half) => half,
            Err(error) => return (Err(error), buf),
        };
        let result = half.read(buf).await;
        self.half.set(Some(half));
        result
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let mut half = match self.take() {
            Ok(half) => half,
            Err(error) => return (Err(error), buf),
        };
        let result = half.readv(buf).await;
        self.half.set(Some(half));
        result
    }
}
