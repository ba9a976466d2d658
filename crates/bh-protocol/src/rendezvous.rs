//! Rendezvous hashing: assigns keys to names so that few keys move when the set of names changes.

use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Chooses the name that owns `key`: the one with the highest hash of name and key.
///
/// Returns `None` if `names` is empty.
pub fn choose<'a>(key: &str, names: impl Iterator<Item = &'a Arc<str>>) -> Option<&'a Arc<str>> {
    names.max_by_key(|name| xxh3_64(format!("{name}\0{key}").as_bytes()))
}
