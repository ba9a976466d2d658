//! How long the leader waits between plans.

/// Minimum time between plans, in milliseconds. Events within it are planned together; syncing a record of starts takes about as long.
const MIN_GAP_MS: u64 = 10;
/// Time between plans as a multiple of the duration of the last one: planning takes at most a fifth of the leader's processor time, up to
/// the maximum gap. Without this bound planning takes all of it when a burst meets a large fleet, and the leader's leases and answers are
/// late.
const GAP_FACTOR: u64 = 4;
/// Maximum time between plans, in milliseconds. If the whole process is paused during planning, the pause counts as planning time, and the
/// next plan must not wait for a multiple of it.
const MAX_GAP_MS: u64 = 1_000;

/// Time from the end of a plan that took `took_ms` until the next one may start, in milliseconds.
pub fn plan_gap_ms(took_ms: u64) -> u64 {
    (took_ms * GAP_FACTOR).clamp(MIN_GAP_MS, MAX_GAP_MS)
}
