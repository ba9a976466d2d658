//! Opens a link: each end proves that it holds the shared key.

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

const NONCE_BYTES: usize = 16;

/// A link that both ends have opened.
pub struct OpenedLink {
    /// What the other end says of itself.
    pub hello: Hello,
    /// Receiving side.
    pub reader: Reader<OwnedReadHalf<TcpStream>>,
    /// Sending side.
    pub writer: Writer<OwnedWriteHalf<TcpStream>>,
}

/// Exchanges hellos over `stream`. A stranger's first frame fails its code and ends the link.
///
/// A recorded hello can be replayed, but its sender then lacks the keys derived from the fresh random number of this
/// end, so that no frame after it is accepted.
///
/// # Errors
///
/// When the connection breaks, or the other end does not hold `shared`.
pub async fn handshake(
    stream: TcpStream,
    mut own: Hello,
    shared: &LinkKey,
    dials: bool,
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
            "the link did not open with a hello",
        ));
    };
    let (dialer, acceptor) = if dials {
        (&nonce, &hello.nonce)
    } else {
        (&hello.nonce, &nonce)
    };
    let outward = shared.derive(dialer, acceptor, b"dialer to acceptor");
    let inward = shared.derive(dialer, acceptor, b"acceptor to dialer");
    let (sending, receiving) = if dials {
        (outward, inward)
    } else {
        (inward, outward)
    };
    writer.set_key(sending);
    reader.set_key(receiving);
    Ok(OpenedLink {
        hello,
        reader,
        writer,
    })
}
