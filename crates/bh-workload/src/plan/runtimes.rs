//! How long tasks really take.

use crate::job::StepSpec;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of the newest observation, in percent: a handful of runs outweighs the declared time, single odd ones do not.
const NEWEST_PERCENT: u64 = 30;
/// Expected time of a task of which nothing was declared or learnt, in milliseconds.
const UNKNOWN_MS: u64 = 5_000;

/// What tasks are told apart by.
type Kind = (Arc<str>, Option<Arc<str>>);

/// Ratios of real to declared run times, by queue and image, in percent.
///
/// Declared times are off by a factor that differs by kind of work; within one kind the ratio is steadier than either time.
#[derive(Clone, Debug, Default)]
pub struct Runtimes {
    percent: BTreeMap<Kind, u64>,
}

impl Runtimes {
    /// Notes that a task of `queue` took `took_ms`.
    pub fn note(&mut self, queue: &Arc<str>, spec: &StepSpec, took_ms: u64) {
        if spec.declared_ms == 0 {
            return;
        }
        let seen = took_ms * 100 / spec.declared_ms;
        let kind = (queue.clone(), spec.image.clone());
        self.percent
            .entry(kind)
            .and_modify(|percent| {
                *percent = (*percent * (100 - NEWEST_PERCENT) + seen * NEWEST_PERCENT) / 100;
            })
            .or_insert(seen);
    }

    /// Expected run time of a task of `queue`, in milliseconds.
    pub fn expected_ms(&self, queue: &Arc<str>, spec: &StepSpec) -> u64 {
        if spec.declared_ms == 0 {
            return UNKNOWN_MS;
        }
        let kind = (queue.clone(), spec.image.clone());
        let percent = self.percent.get(&kind).copied().unwrap_or(100);
        (spec.declared_ms * percent / 100).max(1)
    }
}
