//! When a refused caller should retry.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

const MS_PER_S: u64 = 1_000;
/// Shortest time until a retry, in seconds: about the duration of an election, and the least that `Retry-After` can say.
const MIN_RETRY_S: u64 = 1;
/// Longest time until a retry, in seconds. Expected waits are wrong by up to a factor of two, so a caller that is sent away for longer may
/// miss capacity that is free.
const MAX_RETRY_S: u64 = 10;

/// Returns when the caller of `name` should retry, in milliseconds, if the work ahead takes `drain_ms`.
///
/// The times for different names are spread over half of the time to drain, so that callers that were refused together do not retry
/// together. The result is a whole number of seconds: `Retry-After` has no fractions, and if they were rounded there, a spread of less than a
/// second would be lost. The spread is at least one second for the same reason.
pub fn retry_after_ms(drain_ms: u64, name: &str) -> u64 {
    let drain_s = drain_ms.div_ceil(MS_PER_S).clamp(MIN_RETRY_S, MAX_RETRY_S);
    let spread_s = (drain_s / 2).max(1);
    let first_s = drain_s.min(MAX_RETRY_S - spread_s);
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    (first_s + hasher.finish() % (spread_s + 1)) * MS_PER_S
}
