//! How long the leader waits between plans.

/// Shortest time between plans, in milliseconds. What comes within it is planned together: a record of starts takes about as long to be synced.
const MIN_GAP_MS: u64 = 10;
/// Time between plans as a multiple of what the last one took: planning takes at most a fifth of the leader's processor, up to the longest
/// time between plans. Without this bound it takes all of it when a burst meets a large fleet, and the leader's leases and answers come late.
const GAP_FACTOR: u64 = 4;
/// Longest time between plans, in milliseconds. A pause of the whole leader while it plans counts as time that planning took; the next plan may wait for no
/// multiple of that.
const MAX_GAP_MS: u64 = 1_000;

/// Time from the end of a plan that took `took_ms` until the next one may begin, in milliseconds.
pub fn plan_gap_ms(took_ms: u64) -> u64 {
    (took_ms * GAP_FACTOR).clamp(MIN_GAP_MS, MAX_GAP_MS)
}
