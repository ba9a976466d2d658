//! Cancels of jobs that are not recorded.

use super::Place;
use super::ResolvedCall;
use crate::job::JobId;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Cancels of jobs that were not recorded. A submission may be delayed on its way and arrive after the cancel of its job was acknowledged;
/// it must not run then.
///
/// Cancels are kept by caller. So a caller can only bar its own jobs, and only use up its own share of the limited number of cancels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EarlyCancels {
    /// Time of each cancel in milliseconds since 1970, by caller and job.
    by_caller: BTreeMap<Arc<str>, BTreeMap<JobId, u64>>,
}

impl EarlyCancels {
    /// Limits the stored cancels of all callers. In a snapshot they take up to 40 bytes each.
    pub const MAX: usize = 8_192;

    /// The caller of a call: its customer, or for a caller without a key its queue.
    pub(super) fn caller(place: &Place, found: &ResolvedCall) -> Arc<str> {
        match found.customer {
            Some(customer) => Arc::from(format!("customer {}", customer.name)),
            None => Self::caller_without_key(place, found),
        }
    }

    /// All callers of a queue without a key. The queue is identified by its host and path, since it may be renamed.
    fn caller_without_key(place: &Place, found: &ResolvedCall) -> Arc<str> {
        let path = place.path.strip_suffix(found.rest).unwrap_or(&place.path);
        let host = place.host.to_ascii_lowercase();
        Arc::from(format!("queue {host}{path}"))
    }

    /// Whether no cancel is stored.
    pub fn is_empty(&self) -> bool {
        self.by_caller.is_empty()
    }

    /// Number of stored cancels.
    pub fn len(&self) -> usize {
        self.by_caller.values().map(BTreeMap::len).sum()
    }

    /// Stores a cancel at `now_ms`, in milliseconds since 1970. Returns whether it is stored: a caller has at most `share` cancels.
    pub(super) fn insert(
        &mut self,
        caller: Arc<str>,
        job: JobId,
        now_ms: u64,
        share: usize,
    ) -> bool {
        let count = self.len();
        let cancels = self.by_caller.entry(caller).or_default();
        let is_known = cancels.contains_key(&job);
        let has_room = is_known || count < Self::MAX && cancels.len() < share;
        if has_room {
            cancels.insert(job, now_ms);
        }
        self.by_caller.retain(|_, cancels| !cancels.is_empty());
        has_room
    }

    /// When the caller cancelled the job, in milliseconds since 1970. On a public queue anybody may do so without a key, as for jobs that
    /// are recorded.
    pub(super) fn cancelled_ms(
        &self,
        place: &Place,
        found: &ResolvedCall,
        job: JobId,
    ) -> Option<u64> {
        let cancelled_by = |caller| self.by_caller.get(&caller)?.get(&job).copied();
        let is_public = found.queue.public;
        cancelled_by(Self::caller(place, found)).or_else(|| {
            is_public
                .then(|| cancelled_by(Self::caller_without_key(place, found)))
                .flatten()
        })
    }

    /// Whether a cancel is older than `before_ms`, in milliseconds since 1970.
    pub(super) fn has_older(&self, before_ms: u64) -> bool {
        let mut times = self.by_caller.values().flat_map(BTreeMap::values);
        times.any(|at_ms| *at_ms < before_ms)
    }

    /// Removes the cancels that are older than `before_ms`, in milliseconds since 1970.
    pub(super) fn forget(&mut self, before_ms: u64) {
        self.by_caller.retain(|_, cancels| {
            cancels.retain(|_, at_ms| *at_ms >= before_ms);
            !cancels.is_empty()
        });
    }
}
