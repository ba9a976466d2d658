//! Opens the link from this entry to another one.

use super::Peer;
use crate::node::Node;
use bh_net::link;
use bh_net::link::LinkKey;
use bh_net::link::OpenedLink;
use bh_net::runtime::sleep_ms;
use bh_net::runtime::within_ms;
use bh_protocol::wire::Payload;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;
use std::io;
use std::rc::Rc;

/// First wait before dialling again, in milliseconds; it doubles with each failed attempt.
const FIRST_BACKOFF_MS: u64 = 20;
/// Longest wait before dialling again, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Keeps a link to `peer` open until the node stops.
pub async fn dial(node: Rc<Node>, peer: Rc<Peer>, key: LinkKey) {
    let mut backoff_ms = FIRST_BACKOFF_MS;
    while !node.stop.is_cancelled() {
        if let Ok(opened) = open(&node, &peer, &key).await {
            backoff_ms = FIRST_BACKOFF_MS;
            log::info!(peer = &*peer.vm.name; "link opened");
            let reason = serve(&node, &peer, opened).await;
            close(&node, &peer);
            log::info!(peer = &*peer.vm.name; "link closed: {reason}");
        }
        sleep_ms(backoff_ms).await;
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}

async fn open(node: &Rc<Node>, peer: &Rc<Peer>, key: &LinkKey) -> io::Result<OpenedLink> {
    let timeout_ms = node.config.election_ms;
    let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = within_ms(timeout_ms, TcpStream::connect_addr(peer.vm.peer_address))
        .await
        .ok_or_else(timed_out)??;
    let opened = within_ms(timeout_ms, link::handshake(stream, node.hello(), key, true))
        .await
        .ok_or_else(timed_out)??;
    if *opened.hello.name != *peer.vm.name {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "another VM answers at this address",
        ));
    }
    peer.replica.set(opened.hello.replica);
    Ok(opened)
}

/// Serves the link until it breaks or goes silent; returns the reason it ended.
///
/// A device between the two ends may drop a connection's state: the connection stays silent for good while new ones work.
/// Both ends send heartbeats and expect them, so a silent connection is closed within the election timeout and replaced.
async fn serve(node: &Rc<Node>, peer: &Rc<Peer>, opened: OpenedLink) -> &'static str {
    let receiver = peer.channel.open();
    let OpenedLink { reader, writer, .. } = opened;
    monoio::select! {
        () = read(node, peer, reader) => "the other end closed the link or went silent",
        () = link::write_frames(writer, receiver, |bytes| count_sent(node, peer, bytes)) => "writing failed",
        () = send_heartbeats(node, peer) => "the node stops",
    }
}

fn count_sent(node: &Rc<Node>, peer: &Rc<Peer>, bytes: usize) {
    node.count_link_bytes(bytes);
    peer.channel.note_sent(bytes);
}

async fn read(
    node: &Rc<Node>,
    peer: &Rc<Peer>,
    mut reader: link::Reader<OwnedReadHalf<TcpStream>>,
) {
    let silence_timeout_ms = node.config.election_ms;
    while let Some(Ok(Some(frame))) = within_ms(silence_timeout_ms, reader.next()).await {
        peer.last_contact_ms.set(node.clock.now_ms());
        match frame.payload {
            Some(Payload::Heartbeat(heartbeat)) => node.handle_heartbeat(peer, heartbeat),
            Some(Payload::Reply(reply)) => peer.channel.note_reply(reply),
            _ => {}
        }
    }
}

async fn send_heartbeats(node: &Rc<Node>, peer: &Rc<Peer>) {
    while !node.stop.is_cancelled() {
        peer.send_heartbeat(node.heartbeat());
        sleep_ms(node.link_heartbeat_ms()).await;
    }
}

/// Ends the link: calls without an answer are lost, and no requests are forwarded to the peer until it is linked again.
fn close(node: &Rc<Node>, peer: &Rc<Peer>) {
    peer.channel.close();
    node.handle_link_closed(peer);
}
