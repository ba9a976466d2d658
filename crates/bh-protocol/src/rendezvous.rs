//! Rendezvous hashing: a stable choice among names that moves little when the set changes.

use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The name that owns `key`: the one whose hash together with the key is highest.
///
/// Returns `None` when there is no name to choose from.
pub fn choose<'a>(key: &str, names: impl Iterator<Item = &'a Arc<str>>) -> Option<&'a Arc<str>> {
    names.max_by_key(|name| xxh3_64(format!("{name}\0{key}").as_bytes()))
}
