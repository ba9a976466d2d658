//! Sends what waits for a link, many frames to a write.

use crate::node::Node;
use bh_net::link::Writer;
use bh_protocol::wire::Frame;
use local_sync::mpsc::unbounded;
use monoio::io::OwnedWriteHalf;
use monoio::net::TcpStream;
use std::rc::Rc;

/// Sends the frames of `queue` until the link breaks or the queue closes; `sent` hears of each.
pub(super) async fn write_frames(
    node: &Rc<Node>,
    mut writer: Writer<OwnedWriteHalf<TcpStream>>,
    mut queue: unbounded::Rx<Frame>,
    sent: impl Fn(&Frame),
) {
    while let Some(frame) = queue.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            match writer.feed(&frame).await {
                Ok(bytes) => node.note_link_bytes(bytes),
                Err(_) => return,
            }
            sent(&frame);
            next = queue.try_recv().ok();
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}
