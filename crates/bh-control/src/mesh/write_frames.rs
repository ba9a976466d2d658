//! Sends what waits for a link, many frames to a write.

use bh_net::link::Writer;
use bh_protocol::wire::Frame;
use local_sync::mpsc::unbounded;
use monoio::io::OwnedWriteHalf;
use monoio::net::TcpStream;

/// Sends the frames of `queue` until the link breaks or the queue closes; `sent` is called for each.
pub(super) async fn write_frames(
    mut writer: Writer<OwnedWriteHalf<TcpStream>>,
    mut queue: unbounded::Rx<Frame>,
    sent: impl Fn(),
) {
    while let Some(frame) = queue.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            if writer.feed(&frame).await.is_err() {
                return;
            }
            sent();
            next = queue.try_recv().ok();
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}
