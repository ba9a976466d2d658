//! Upper bounds of the memory that a request takes once it is parsed.

/// Copies of a body while it is parsed: the buffer for escaped text, which grows by doubling, and the text itself.
const COPIES: u64 = 3;
/// Copies of a document on its way to the leader: as JSON, in the frame and in the buffer of the link.
const COPIES_TO_LEADER: u64 = 3;
/// Bytes that a value of a list or a field of an object takes beside its text.
const VALUE_BYTES: u64 = 64;
/// Bytes that an object or a list takes beside its values.
const NESTED_BYTES: u64 = 256;

/// For a body whose parser bounds the number of values.
pub fn of_text(body: &[u8]) -> u64 {
    length(body) * COPIES
}

/// For a document of any number of values, in JSON or in a text format within JSON, that is passed on to the leader.
pub fn of_document(body: &[u8]) -> u64 {
    let values: u64 = body.iter().map(|byte| value_bytes(*byte)).sum();
    length(body) * (COPIES + COPIES_TO_LEADER) + values
}

fn value_bytes(byte: u8) -> u64 {
    match byte {
        b'{' | b'[' => NESTED_BYTES,
        // A backslash may be the end of a line of the text within.
        b',' | b'\\' => VALUE_BYTES,
        _ => 0,
    }
}

fn length(body: &[u8]) -> u64 {
    u64::try_from(body.len()).unwrap_or(u64::MAX)
}
