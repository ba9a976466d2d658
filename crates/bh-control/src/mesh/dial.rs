//! Keeps an outbound link to one core open.

use super::Mesh;
use super::Peer;
use super::mesh::HEARTBEAT_INTERVAL_MS;
use super::mesh::LINK_TIMEOUT_MS;
use bh_net::link;
use bh_net::link::OpenedLink;
use bh_net::runtime::sleep_ms;
use bh_net::runtime::within_ms;
use bh_protocol::wire::CoreStatus;
use bh_protocol::wire::Heartbeat;
use bh_protocol::wire::Payload;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

/// Initial backoff before dialling again, in milliseconds; doubles up to the maximum.
const MIN_BACKOFF_MS: u64 = 50;
/// Maximum backoff, in milliseconds: a core that comes back must be found well within the time that it is given to catch up.
const MAX_BACKOFF_MS: u64 = 400;
/// Timeout for opening a connection, in milliseconds. A VM without power sends no answer, not even a refusal.
const CONNECT_TIMEOUT_MS: u64 = 800;

/// Keeps a link to `peer` open until the process ends or the link is not needed any more.
pub(super) async fn keep_link(mesh: Rc<Mesh>, peer: Rc<Peer>) {
    let mut backoff_ms = MIN_BACKOFF_MS;
    while !mesh.stop.is_cancelled() && !mesh.is_spare(&peer) {
        if let Ok(opened) = open(&mesh, &peer).await {
            backoff_ms = MIN_BACKOFF_MS;
            peer.has_failed.set(false);
            log::info!(core = peer.address.to_string(), replica = opened.hello.replica; "link opened");
            let why = serve(&mesh, &peer, opened).await;
            close(&peer);
            log::info!(core = peer.address.to_string(); "link lost: {why}");
            if mesh.is_spare(&peer) {
                break;
            }
        }
        peer.has_failed.set(true);
        mesh.open_wanted_links();
        sleep_ms(backoff_ms).await;
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
    peer.is_kept.set(false);
}

async fn open(mesh: &Rc<Mesh>, peer: &Rc<Peer>) -> io::Result<OpenedLink> {
    let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = within_ms(CONNECT_TIMEOUT_MS, TcpStream::connect_addr(peer.address))
        .await
        .ok_or_else(timed_out)??;
    let handshake = link::handshake(stream, mesh.hello(), &mesh.key, true);
    let opened = within_ms(CONNECT_TIMEOUT_MS, handshake)
        .await
        .ok_or_else(timed_out)??;
    peer.replica.set(opened.hello.replica);
    *peer.data_centre.borrow_mut() = Arc::from(&*opened.hello.data_centre);
    Ok(opened)
}

async fn serve(mesh: &Rc<Mesh>, peer: &Rc<Peer>, opened: OpenedLink) -> &'static str {
    let receiver = peer.channel.open();
    let OpenedLink { reader, writer, .. } = opened;
    monoio::select! {
        () = read(mesh, peer, reader) => "the core closed it or fell silent",
        () = link::write_frames(writer, receiver, |bytes| peer.channel.note_sent(bytes)) => "writing failed",
        why = send_heartbeats(mesh, peer) => why,
    }
}

async fn read(
    mesh: &Rc<Mesh>,
    peer: &Rc<Peer>,
    mut reader: link::Reader<OwnedReadHalf<TcpStream>>,
) {
    while let Some(Ok(Some(frame))) = within_ms(LINK_TIMEOUT_MS, reader.next()).await {
        mesh.observe_contact(|| {
            peer.note_contact(mesh.now_ms());
            if let Some(Payload::Core(status)) = &frame.payload {
                *peer.status.borrow_mut() = status.clone();
            }
        });
        if peer.is_draining() {
            mesh.open_wanted_links();
        }
        match frame.payload {
            Some(Payload::Core(status)) => {
                mesh.add_cores(status.cores.iter().filter_map(|core| core.parse().ok()));
            }
            Some(Payload::Reply(reply)) => peer.channel.note_reply(reply),
            _ => {}
        }
    }
}

async fn send_heartbeats(mesh: &Rc<Mesh>, peer: &Rc<Peer>) -> &'static str {
    while !mesh.stop.is_cancelled() {
        if peer.channel.is_idle() && mesh.is_spare(peer) {
            return "it is not needed";
        }
        peer.channel.send(Payload::Heartbeat(Heartbeat::default()));
        sleep_ms(HEARTBEAT_INTERVAL_MS).await;
        peer.note_silence(mesh.now_ms());
        if mesh.fresh_leader().is_none() {
            mesh.open_wanted_links();
        }
    }
    "the process ends"
}

/// Closes the link; calls without an answer are lost.
fn close(peer: &Rc<Peer>) {
    peer.channel.close();
    *peer.status.borrow_mut() = CoreStatus::default();
}
