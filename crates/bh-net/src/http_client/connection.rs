//! Client connection, with one request in progress at a time.

use super::SendError;
use super::limited_reader::LimitedReader;
use crate::connections::Connections;
use crate::runtime::within_ms;
use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::header;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::Body;
use monoio_http::common::body::HttpBody;
use monoio_http::h1::BorrowFramedRead;
use monoio_http::h1::codec::decoder::ClientResponseDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::FixedPayload;
use monoio_http::h1::payload::Payload;
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum size of the head of an answer in bytes. The body may have as many bytes again for the sizes of its chunks.
const MAX_HEAD_BYTES: u64 = 64 << 10;

/// An open connection.
///
/// The encoder and decoder of `monoio-http` hold about 16 KiB of buffers, so they exist only during one exchange. A leader keeps a
/// few connections to every worker, and with buffers these connections took most of its memory.
pub struct Connection {
    read: OwnedReadHalf<TcpStream>,
    write: OwnedWriteHalf<TcpStream>,
    reusable: bool,
    /// Account from which large answers take their memory, if there is one.
    memory: Option<Rc<Connections>>,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// [`SendError::Refused`] if nothing listens at the address, otherwise [`SendError::NotConnected`], also if it takes longer than
    /// `limit_ms`.
    pub async fn open(address: SocketAddr, limit_ms: u64) -> Result<Connection, SendError> {
        let connecting = TcpStream::connect_addr(address);
        let stream = match within_ms(limit_ms, connecting).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(SendError::Refused);
            }
            _ => return Err(SendError::NotConnected),
        };
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Ok(Connection {
            read,
            write,
            reusable: true,
            memory: None,
        })
    }

    /// Takes the memory of large answers from that of `connections`.
    pub fn with_memory_of(mut self, connections: Rc<Connections>) -> Self {
        self.memory = Some(connections);
        self
    }

    /// Whether the last answer was complete and the other side keeps the connection open.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Sends `request` and reads the complete answer, of at most `max_answer_bytes`.
    ///
    /// After an error the connection must be dropped: the rest of the answer may still arrive, and the next request would read it
    /// as its own answer.
    ///
    /// # Errors
    ///
    /// Any [`SendError`] except [`SendError::NotConnected`] and [`SendError::Refused`].
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
        limit_ms: u64,
        max_answer_bytes: u64,
    ) -> Result<Response<Bytes>, SendError> {
        self.reusable = false;
        let exceeded = Cell::new(false);
        let exchange = self.exchange(request, max_answer_bytes, &exceeded);
        match within_ms(limit_ms, exchange).await {
            Some(Err(SendError::Broken)) if exceeded.get() => Err(SendError::TooLarge {
                limit: max_answer_bytes,
            }),
            Some(result) => result,
            None => Err(SendError::TimedOut),
        }
    }

    async fn exchange(
        &mut self,
        request: Request<Bytes>,
        max_answer_bytes: u64,
        exceeded: &Cell<bool>,
    ) -> Result<Response<Bytes>, SendError> {
        let (parts, body) = request.into_parts();
        let payload = Payload::Fixed(FixedPayload::new(body));
        let request = Request::from_parts(parts, HttpBody::from(payload));
        GenericEncoder::new(&mut self.write)
            .send_and_flush(request)
            .await
            .map_err(|_| SendError::Broken)?;
        let slot = self.memory.as_ref().map(Connections::account);
        let max_bytes = max_answer_bytes.saturating_mul(2) + MAX_HEAD_BYTES;
        let source = LimitedReader::new(&mut self.read, max_bytes, slot, exceeded);
        let mut reader = ClientResponseDecoder::new(source);
        let response = match reader.next().await {
            Some(Ok(response)) => response,
            _ => return Err(SendError::Broken),
        };
        let (parts, decoder) = response.into_parts();
        check_length(&parts, max_answer_bytes)?;
        let mut body = decoder.with_io(&mut reader);
        let mut bytes = BytesMut::new();
        while let Some(chunk) = body.next_data().await {
            bytes.extend_from_slice(&chunk.map_err(|_| SendError::Broken)?);
            if u64::try_from(bytes.len()).unwrap_or(u64::MAX) > max_answer_bytes {
                return Err(SendError::TooLarge {
                    limit: max_answer_bytes,
                });
            }
        }
        let asks_to_close = parts
            .headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        // Bytes after the answer belong to no request. They are dropped with the decoder, so the position in the stream is unknown.
        let has_surplus = !reader.framed_mut().read_buffer().is_empty();
        self.reusable = !asks_to_close && !has_surplus && parts.version == http::Version::HTTP_11;
        Ok(Response::from_parts(parts, bytes.freeze()))
    }
}

/// Checks that the answer states its length and that it is within the limit.
fn check_length(parts: &http::response::Parts, max_answer_bytes: u64) -> Result<(), SendError> {
    if parts.headers.contains_key(header::TRANSFER_ENCODING) {
        return Ok(());
    }
    let content_length = parts
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    match content_length {
        Some(length) if length > max_answer_bytes => Err(SendError::TooLarge {
            limit: max_answer_bytes,
        }),
        Some(_) => Ok(()),
        None if parts.status == http::StatusCode::NO_CONTENT => Ok(()),
        None => Err(SendError::NoLength),
    }
}
