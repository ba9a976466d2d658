//! The link this entry dials to another one.

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

/// First wait before dialling again, in milliseconds; doubles up to the longest.
const FIRST_WAIT_MS: u64 = 20;
/// Longest such wait, in milliseconds.
const LONGEST_WAIT_MS: u64 = 1_000;

/// Keeps a link to `peer` until the node stops.
pub async fn dial(node: Rc<Node>, peer: Rc<Peer>, key: LinkKey) {
    let mut wait_ms = FIRST_WAIT_MS;
    while !node.stop.is_cancelled() {
        if let Ok(opened) = open(&node, &peer, &key).await {
            wait_ms = FIRST_WAIT_MS;
            log::info!(peer = &*peer.vm.name; "link opened");
            let why = serve(&node, &peer, opened).await;
            close(&node, &peer);
            log::info!(peer = &*peer.vm.name; "link closed: {why}");
        }
        sleep_ms(wait_ms).await;
        wait_ms = (wait_ms * 2).min(LONGEST_WAIT_MS);
    }
}

async fn open(node: &Rc<Node>, peer: &Rc<Peer>, key: &LinkKey) -> io::Result<OpenedLink> {
    let limit_ms = node.config.election_ms;
    let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = within_ms(limit_ms, TcpStream::connect_addr(peer.vm.peer_address))
        .await
        .ok_or_else(timed_out)??;
    let opened = within_ms(limit_ms, link::handshake(stream, node.hello(), key, true))
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

/// Runs the link until it breaks or falls silent; returns why it ended.
///
/// A connection can go silent for good while new ones work, because a device between the two ends has forgotten it.
/// Both ends send heartbeats and expect them, so either notices within the election time and opens a new one.
async fn serve(node: &Rc<Node>, peer: &Rc<Peer>, opened: OpenedLink) -> &'static str {
    let receiver = peer.channel.open();
    let OpenedLink { reader, writer, .. } = opened;
    monoio::select! {
        () = read(node, peer, reader) => "the other end closed it or fell silent",
        () = link::write_frames(writer, receiver, |bytes| note_sent(node, peer, bytes)) => "writing failed",
        () = beat(node, peer) => "the node stops",
    }
}

fn note_sent(node: &Rc<Node>, peer: &Rc<Peer>, bytes: usize) {
    node.note_link_bytes(bytes);
    peer.channel.note_sent();
}

async fn read(
    node: &Rc<Node>,
    peer: &Rc<Peer>,
    mut reader: link::Reader<OwnedReadHalf<TcpStream>>,
) {
    let silence_ms = node.config.election_ms;
    while let Some(Ok(Some(frame))) = within_ms(silence_ms, reader.next()).await {
        peer.heard_ms.set(node.clock.now_ms());
        match frame.payload {
            Some(Payload::Heartbeat(heartbeat)) => node.note_heartbeat(peer, heartbeat),
            Some(Payload::Reply(reply)) => peer.channel.note_reply(reply),
            _ => {}
        }
    }
}

async fn beat(node: &Rc<Node>, peer: &Rc<Peer>) {
    while !node.stop.is_cancelled() {
        peer.send_heartbeat(node.heartbeat());
        sleep_ms(node.link_heartbeat_ms()).await;
    }
}

/// Ends the link: calls without an answer are lost, and no work is handed to the peer until it is back.
fn close(node: &Rc<Node>, peer: &Rc<Peer>) {
    peer.channel.close();
    node.note_peer_gone(peer);
}
