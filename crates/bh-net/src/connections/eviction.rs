//! Which connections give way to others.

use super::Stage;
use super::state::State;
use std::cmp::Reverse;
use std::rc::Rc;

/// Time after which a request that has not ended, or a new connection without a request, counts as stalled, in milliseconds. A request of a
/// client that behaves takes a few round trips.
const STALLED_MS: u64 = 1_000;

/// The connection that gives way to another one: first what is stalled, then what is idle between requests, then requests in transit; of
/// those the one that has been so for the longest time.
pub(super) fn for_connection<'a>(
    states: impl Iterator<Item = &'a Rc<State>>,
    now_ms: u64,
) -> Option<&'a Rc<State>> {
    states
        .filter(|state| state.is_evictable())
        .min_by_key(|state| (rank(state, now_ms), state.since_ms.get()))
}

fn rank(state: &State, now_ms: u64) -> u8 {
    let is_between_requests = state.stage.get() == Stage::Idle && state.answered.get();
    match (is_between_requests, is_old(state, now_ms)) {
        (false, true) => 0,
        (true, _) => 1,
        (false, false) => 2,
    }
}

fn is_old(state: &State, now_ms: u64) -> bool {
    now_ms.saturating_sub(state.since_ms.get()) >= STALLED_MS
}

/// The connections that can give way to a request or an answer that needs memory, best first: large ones before small ones, those that have
/// been in progress for the longest time first. An answer gives way only if nobody has read of it for a while.
pub(super) fn for_memory<'a>(
    states: impl Iterator<Item = &'a Rc<State>>,
    now_ms: u64,
    is_large: impl Fn(&State) -> bool,
) -> Vec<&'a Rc<State>> {
    let is_read = |state: &State| state.stage.get() == Stage::Sending && !is_old(state, now_ms);
    let mut holders: Vec<&Rc<State>> = states
        .filter(|state| state.is_evictable() && state.bytes.get() > 0 && !is_read(state))
        .collect();
    holders.sort_by_key(|state| (Reverse(is_large(state)), state.since_ms.get()));
    holders
}
