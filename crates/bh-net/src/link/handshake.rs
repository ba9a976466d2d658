//! Opens a link; each end proves that it has the shared key.

use super::key::LinkKey;
use super::reader::Reader;
use super::writer::Writer;
use bh_protocol::wire::Frame;
use bh_protocol::wire::Hello;
use bh_protocol::wire::Payload;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use std::io;

/// Length of the random number of each end, 128 bits.
const NONCE_BYTES: usize = 16;

/// A link after the handshake.
pub struct OpenedLink {
    /// First message of the other end.
    pub hello: Hello,
    /// Receiving side.
    pub reader: Reader<OwnedReadHalf<TcpStream>>,
    /// Sending side.
    pub writer: Writer<OwnedWriteHalf<TcpStream>>,
}

/// Exchanges [`Hello`] messages over `stream`. The first frame of an end without the shared key fails the MAC check.
///
/// A recorded hello can be replayed, but its sender cannot derive the keys, which depend on the new random number of this end,
/// so no frame after the hello is accepted.
///
/// # Errors
///
/// When the connection breaks, or the other end does not have the key `shared`.
pub async fn handshake(
    stream: TcpStream,
    mut own: Hello,
    shared: &LinkKey,
    is_dialer: bool,
) -> io::Result<OpenedLink> {
    let _ = stream.set_nodelay(true);
    let mut nonce = vec![0; NONCE_BYTES];
    getrandom::fill(&mut nonce).map_err(|error| io::Error::other(error.to_string()))?;
    own.nonce = nonce.clone();
    let (read, write) = stream.into_split();
    let mut reader = Reader::new(read, shared.clone());
    let mut writer = Writer::new(write, shared.clone());
    writer
        .feed(&Frame {
            payload: Some(Payload::Hello(own)),
        })
        .await?;
    writer.flush().await?;
    let frame = reader.next().await?;
    let Some(Payload::Hello(hello)) = frame.and_then(|frame| frame.payload) else {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the first frame of a link is not a hello",
        ));
    };
    let (dialer, acceptor) = if is_dialer {
        (&nonce, &hello.nonce)
    } else {
        (&hello.nonce, &nonce)
    };
    let dialer_key = shared.derive(dialer, acceptor, b"dialer to acceptor");
    let acceptor_key = shared.derive(dialer, acceptor, b"acceptor to dialer");
    let (sending_key, receiving_key) = if is_dialer {
        (dialer_key, acceptor_key)
    } else {
        (acceptor_key, dialer_key)
    };
    writer.set_key(sending_key);
    reader.set_key(receiving_key);
    Ok(OpenedLink {
        hello,
        reader,
        writer,
    })
}
