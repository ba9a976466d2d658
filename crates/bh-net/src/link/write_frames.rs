//! Sends the queued frames of a link, many frames per write.

use super::Writer;
use bh_protocol::wire::Frame;
use local_sync::mpsc::unbounded;
use monoio::io::AsyncWriteRent;

/// Sends the frames of `queue` until the link breaks or the queue closes; calls `on_sent` for each with its size in bytes.
pub async fn write_frames<W: AsyncWriteRent>(
    mut writer: Writer<W>,
    mut queue: unbounded::Rx<Frame>,
    on_sent: impl Fn(usize),
) {
    while let Some(frame) = queue.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            match writer.feed(&frame).await {
                Ok(bytes) => on_sent(bytes),
                Err(_) => return,
            }
            next = queue.try_recv().ok();
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}
