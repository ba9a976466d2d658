//! One record of a journal: length, checksum, content.

use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use prost::Message;

/// Bytes before the content: a 32-bit length and a 32-bit checksum of the content, little-endian.
pub const HEADER_BYTES: usize = 8;
/// Largest content; a longer length in a header is damage.
pub const MAX_RECORD_BYTES: usize = 256 << 20;

/// A state that a replica must not forget.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Term and vote, when the record carries them.
    #[prost(message, optional, tag = "1")]
    pub vote: Option<Vote>,
    /// Log entries; the first one replaces the log from its index on.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<LogEntry>,
    /// A snapshot, which replaces all before it.
    #[prost(message, optional, tag = "3")]
    pub snapshot: Option<Snapshot>,
}

/// Term and vote of a replica.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Vote {
    /// Current term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Replica voted for in that term; 0 for none.
    #[prost(uint64, tag = "2")]
    pub voted_for: u64,
}

/// A state machine as of one log index.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// Last index it covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that index.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Voters as of that index.
    #[prost(message, repeated, tag = "3")]
    pub voters: Vec<Member>,
    /// The state machine.
    #[prost(bytes = "vec", tag = "4")]
    pub state: Vec<u8>,
}

/// Why records could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The last record was not written whole; `at` is where it starts. The records before it are good.
    TornTail {
        /// Offset in bytes.
        at: usize,
    },
    /// A record before the end fails its checksum; `at` is where it starts.
    Damaged {
        /// Offset in bytes.
        at: usize,
    },
}

/// Appends `record` to `buffer` in its stored form.
pub fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let content = record.encode_to_vec();
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buffer.extend_from_slice(&content);
}

/// Decodes all records of `bytes`, with what ended the reading when it was not the end of the bytes.
///
/// A crash in the middle of a write leaves a short or garbled last record, which was never acknowledged and is
/// cut. A bad record with a good one after it cannot come from a crash: the disk lost what was acknowledged, and
/// going on would forget it silently, so that is [`RecordError::Damaged`].
pub fn decode_all(bytes: &[u8]) -> (Vec<Record>, Option<RecordError>) {
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match decode_one(&bytes[at..]) {
            Some((record, used)) => {
                records.push(record);
                at += used;
            }
            None if any_record_after(&bytes[at + 1..]) => {
                return (records, Some(RecordError::Damaged { at }));
            }
            None => return (records, Some(RecordError::TornTail { at })),
        }
    }
    (records, None)
}

fn decode_one(bytes: &[u8]) -> Option<(Record, usize)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let length = usize::try_from(u32::from_le_bytes(header[..4].try_into().ok()?)).ok()?;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    // An empty record is never written; eight zero bytes would otherwise pass as one, and a file system may
    // leave a run of zeros behind a crash.
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let content = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if crc32fast::hash(content) != checksum {
        return None;
    }
    let record = Record::decode(content).ok()?;
    Some((record, HEADER_BYTES + length))
}

/// Whether a good record starts anywhere in `bytes`.
fn any_record_after(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| decode_one(&bytes[at..]).is_some())
}
