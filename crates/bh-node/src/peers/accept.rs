//! Accepts the links that other entries open to this one.

use crate::node::Node;
use bh_net::link;
use bh_net::link::LinkKey;
use bh_net::link::OpenedLink;
use bh_net::runtime::within_ms;
use bh_protocol::wire::Frame;
use bh_protocol::wire::Payload;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use local_sync::mpsc::unbounded;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use std::rc::Rc;

/// Accepts links until the node stops.
pub async fn accept(node: Rc<Node>, listener: TcpListener, key: LinkKey) {
    while !node.stop.is_cancelled() {
        let Ok((stream, from)) = listener.accept().await else {
            continue;
        };
        let (node, key) = (node.clone(), key.clone());
        monoio::spawn(async move {
            let opening = link::handshake(stream, node.hello(), &key, false);
            match within_ms(node.config.election_ms, opening).await {
                Some(Ok(opened)) => serve(node, opened).await,
                _ => {
                    node.metrics.count("link_strangers", 1);
                    log::warn!(address = from.to_string(); "link refused: the handshake failed or timed out");
                }
            }
        });
    }
}

async fn serve(node: Rc<Node>, opened: OpenedLink) {
    let OpenedLink {
        hello,
        reader,
        writer,
    } = opened;
    let (sender, receiver) = unbounded::channel();
    if let Some(peer) = node.peers.get(&hello.name) {
        peer.replica.set(hello.replica);
    }
    monoio::select! {
        () = read(&node, reader, sender) => {}
        () = link::write_frames(writer, receiver, |bytes| node.count_link_bytes(bytes)) => {}
    }
}

async fn read(
    node: &Rc<Node>,
    mut reader: link::Reader<OwnedReadHalf<TcpStream>>,
    replies: unbounded::Tx<Frame>,
) {
    let silence_timeout_ms = node.config.election_ms;
    loop {
        match within_ms(silence_timeout_ms, reader.next()).await {
            Some(Ok(Some(frame))) => match frame.payload {
                Some(Payload::Heartbeat(_)) => {
                    let _ = replies.send(Frame {
                        payload: Some(Payload::Heartbeat(node.heartbeat())),
                    });
                }
                Some(Payload::Raft(message)) => node.deliver_raft(message),
                Some(Payload::Request(request)) => answer(node.clone(), request, replies.clone()),
                _ => {}
            },
            Some(Err(_)) => {
                node.metrics.count("link_bad_frames", 1);
                return;
            }
            _ => return,
        }
    }
}

/// Answers a call in a separate task, so that a slow call delays no other.
fn answer(node: Rc<Node>, request: RpcRequest, replies: unbounded::Tx<Frame>) {
    monoio::spawn(async move {
        let id = request.id;
        let reply = match node.serve_call(request).await {
            Ok((label, body)) => RpcReply {
                id,
                label,
                body,
                ..RpcReply::default()
            },
            Err(failure) => RpcReply {
                id,
                code: failure.code.number(),
                label: failure.label,
                retry_after_ms: failure.retry_after_ms.unwrap_or(0),
                body: Vec::new(),
            },
        };
        let _ = replies.send(Frame {
            payload: Some(Payload::Reply(reply)),
        });
    });
}
