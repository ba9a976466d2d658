//! Format of a journal record: length, checksum, content.

use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use prost::Message;

/// Size of the header before the content: the length and the CRC-32 of the content, each 32 bits, little-endian.
pub const HEADER_BYTES: usize = 8;
/// Largest content of a record. A header with a greater length is damaged.
pub const MAX_RECORD_BYTES: usize = 256 << 20;

/// A change of the state that a replica must keep over a restart.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Term and vote, if the record sets them.
    #[prost(message, optional, tag = "1")]
    pub vote: Option<Vote>,
    /// Log entries. The first one replaces the log from its index on.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<LogEntry>,
    /// A snapshot, which replaces all entries up to its index.
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
    /// Last index that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that index.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Voters as of that index.
    #[prost(message, repeated, tag = "3")]
    pub voters: Vec<Member>,
    /// The encoded state machine.
    #[prost(bytes = "vec", tag = "4")]
    pub state: Vec<u8>,
}

/// Why records could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The last record is incomplete. The records before it are intact.
    TornTail {
        /// Offset of that record in bytes.
        at: usize,
    },
    /// A record is damaged and an intact one follows it.
    Damaged {
        /// Offset of that record in bytes.
        at: usize,
    },
}

/// Appends the encoded `record`, with its header, to `buffer`.
pub fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let content = record.encode_to_vec();
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buffer.extend_from_slice(&content);
}

/// Length of the encoded `record` with its header, in bytes.
pub fn encoded_length(record: &Record) -> u64 {
    u64::try_from(HEADER_BYTES + record.encoded_len()).unwrap_or(u64::MAX)
}

/// Decodes the records of `bytes` up to the first one that cannot be read, and says why it cannot be read.
///
/// A crash in the middle of a write leaves an incomplete or garbled last record. It was never acknowledged, so it may be dropped. A damaged
/// record with an intact one after it cannot come from a crash: the disk lost data that was acknowledged. To go on would drop that data
/// silently, so this is [`RecordError::Damaged`].
pub fn decode_all(bytes: &[u8]) -> (Vec<Record>, Option<RecordError>) {
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match decode_one(&bytes[at..]) {
            Some((record, used)) => {
                records.push(record);
                at += used;
            }
            None if contains_record(&bytes[at + 1..]) => {
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
    // An empty record is never written. Without this check eight zero bytes would pass as one, and a file system may leave zeros at the end
    // of a file after a crash.
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

/// Whether an intact record starts anywhere in `bytes`.
fn contains_record(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| decode_one(&bytes[at..]).is_some())
}
