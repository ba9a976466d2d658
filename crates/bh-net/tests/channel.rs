//! The queue of frames that wait to be sent over a link.
use bh_net::link::Channel;
use bh_net::link::MAC_BYTES;
use bh_protocol::wire::Frame;
use bh_protocol::wire::RaftBody;
use bh_protocol::wire::RaftMessage;
use prost::Message;

const MAX_QUEUED_BYTES: usize = 8 << 20;

fn message(bytes: usize) -> RaftMessage {
    let body = RaftBody {
        snapshot: vec![1; bytes],
        ..RaftBody::default()
    };
    RaftMessage {
        body: Some(body),
        ..RaftMessage::default()
    }
}

fn drained(frames: &mut local_sync::mpsc::unbounded::Rx<Frame>) -> Vec<usize> {
    let frames = std::iter::from_fn(|| frames.try_recv().ok());
    frames.map(|frame| frame.encoded_len()).collect()
}

/// Guards against a process whose memory fills up with large messages for an end that reads nothing while its link is open.
#[test]
fn replication_messages_are_dropped_when_many_bytes_are_queued() {
    let channel = Channel::new();
    let mut frames = channel.open();
    for _ in 0..100 {
        channel.send_raft(message(1 << 20));
    }
    let sizes = drained(&mut frames);
    let bytes: usize = sizes.iter().sum();
    assert!(bytes <= MAX_QUEUED_BYTES, "{bytes} bytes");
    assert!(sizes.len() >= 7, "{} frames", sizes.len());
    for size in sizes {
        channel.note_sent(size + MAC_BYTES);
    }
    channel.send_raft(message(1 << 20));
    assert_eq!(drained(&mut frames).len(), 1);
}

/// Guards against a replica that never gets a snapshot larger than the limit.
#[test]
fn a_message_over_the_limit_is_queued_alone() {
    let channel = Channel::new();
    let mut frames = channel.open();
    for _ in 0..3 {
        channel.send_raft(message(2 * MAX_QUEUED_BYTES));
    }
    let sizes = drained(&mut frames);
    assert_eq!(sizes.len(), 1);
    channel.note_sent(sizes[0] + MAC_BYTES);
    channel.send_raft(message(2 * MAX_QUEUED_BYTES));
    assert_eq!(drained(&mut frames).len(), 1);
}
