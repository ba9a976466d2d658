//! Inbound links, which other processes dial to this core.

use super::Mesh;
use super::mesh::LINK_TIMEOUT_MS;
use bh_net::link;
use bh_net::link::OpenedLink;
use bh_net::runtime::sleep_ms;
use bh_net::runtime::within_ms;
use bh_protocol::wire::CoreStatus;
use bh_protocol::wire::Frame;
use bh_protocol::wire::Payload;
use bh_protocol::wire::RaftMessage;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use local_sync::mpsc::unbounded;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Time to wait after a connection could not be accepted, in milliseconds. Most likely the process is out of descriptors, and connections
/// that close free some.
const ACCEPT_RETRY_MS: u64 = 10;

/// Future of the answer to a call.
pub type Reply = Pin<Box<dyn Future<Output = Vec<u8>>>>;

/// Handlers of a core for messages that arrive over its inbound links.
pub struct LinkHandler {
    /// Handles a replication message.
    pub deliver: Box<dyn Fn(RaftMessage)>,
    /// Answers a call.
    pub answer: Box<dyn Fn(RpcRequest) -> Reply>,
    /// Returns the core's current status.
    pub status: Box<dyn Fn() -> CoreStatus>,
}

/// The open inbound links, so that all can be notified at once when the leader changes.
#[derive(Default)]
pub struct Inbound {
    queues: RefCell<Vec<unbounded::Tx<Frame>>>,
}

impl Inbound {
    /// Sends this core's status to all processes linked to it, without the list of cores.
    pub fn broadcast(&self, status: &CoreStatus) {
        let status = CoreStatus {
            cores: Vec::new(),
            ..status.clone()
        };
        let frame = Frame {
            payload: Some(Payload::Core(status)),
        };
        self.queues
            .borrow_mut()
            .retain(|queue| queue.send(frame.clone()).is_ok());
    }
}

/// Accepts links until the process ends.
pub async fn accept(
    mesh: Rc<Mesh>,
    listener: TcpListener,
    handler: Rc<LinkHandler>,
    inbound: Rc<Inbound>,
) {
    while !mesh.stop.is_cancelled() {
        let Ok((stream, from)) = listener.accept().await else {
            sleep_ms(ACCEPT_RETRY_MS).await;
            continue;
        };
        let (mesh, handler, inbound) = (mesh.clone(), handler.clone(), inbound.clone());
        monoio::spawn(async move {
            let opening = link::handshake(stream, mesh.hello(), &mesh.key, false);
            match within_ms(LINK_TIMEOUT_MS, opening).await {
                Some(Ok(opened)) => serve(mesh, opened, handler, inbound).await,
                _ => {
                    log::warn!(from = from.to_string(); "a link was not opened: no valid handshake")
                }
            }
        });
    }
}

async fn serve(mesh: Rc<Mesh>, opened: OpenedLink, handler: Rc<LinkHandler>, inbound: Rc<Inbound>) {
    let OpenedLink {
        hello,
        reader,
        writer,
    } = opened;
    // A process with an address is a core; dial it back.
    if let Ok(address) = hello.address.parse() {
        mesh.add_cores([address]);
    }
    let (sender, receiver) = unbounded::channel();
    let status = (handler.status)();
    let sent_cores = status.cores.len();
    let first = Frame {
        payload: Some(Payload::Core(status)),
    };
    // The receiver is held below, so this cannot fail.
    let _ = sender.send(first);
    inbound.queues.borrow_mut().push(sender.clone());
    monoio::select! {
        () = read(reader, sender, &handler, sent_cores) => {}
        () = link::write_frames(writer, receiver, |_| {}) => {}
    }
}

/// Handles what arrives over a link on which `sent_cores` cores have been named so far. Cores are only ever added, so that the number tells
/// whether the other end knows all of them: a list in each status would be most of the traffic of many links.
async fn read(
    mut reader: link::Reader<OwnedReadHalf<TcpStream>>,
    queue: unbounded::Tx<Frame>,
    handler: &Rc<LinkHandler>,
    mut sent_cores: usize,
) {
    while let Some(Ok(Some(frame))) = within_ms(LINK_TIMEOUT_MS, reader.next()).await {
        match frame.payload {
            Some(Payload::Heartbeat(_)) => {
                let mut status = (handler.status)();
                if status.cores.len() == sent_cores {
                    status.cores.clear();
                } else {
                    sent_cores = status.cores.len();
                }
                let status = Frame {
                    payload: Some(Payload::Core(status)),
                };
                if queue.send(status).is_err() {
                    return;
                }
            }
            Some(Payload::Raft(message)) => (handler.deliver)(message),
            Some(Payload::Request(request)) => answer(request, queue.clone(), handler),
            _ => {}
        }
    }
}

/// Answers a call in a separate task, so that a slow one does not delay others. The handler is called before the task first runs, so that it
/// notes when the call arrived.
fn answer(request: RpcRequest, queue: unbounded::Tx<Frame>, handler: &Rc<LinkHandler>) {
    let id = request.id;
    let answered = (handler.answer)(request);
    monoio::spawn(async move {
        let body = answered.await;
        let reply = RpcReply {
            id,
            body,
            ..RpcReply::default()
        };
        // If the link has closed in the meantime, the caller counts the call as lost.
        let _ = queue.send(Frame {
            payload: Some(Payload::Reply(reply)),
        });
    });
}
