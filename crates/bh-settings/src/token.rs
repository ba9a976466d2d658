//! Tokens, stored as SHA-256 digests and compared in constant time.

use sha2::Digest;
use sha2::Sha256;
use std::fmt::Write;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// SHA-256 of `token`, as 64 hexadecimal digits.
pub fn digest(token: &str) -> Arc<str> {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        let _ = write!(hex, "{byte:02x}");
    }
    Arc::from(hex)
}

/// Whether `digest` is among `known`.
///
/// Compares every known digest in full, so the time taken does not reveal how many characters matched.
pub fn is_among(digest: &str, known: &[Arc<str>]) -> bool {
    let mut found = subtle::Choice::from(0);
    for candidate in known {
        found |= candidate.as_bytes().ct_eq(digest.as_bytes());
    }
    found.into()
}

/// Whether `text` is 64 lower-case hexadecimal digits.
pub fn is_digest(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
