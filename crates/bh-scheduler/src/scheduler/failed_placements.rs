//! Placements that failed within one pass over the queue.

use bh_protocol::shape::Shape;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Shapes that didn't fit in the current pass over the queue, so that equal jobs are not attempted again.
#[derive(Default)]
pub(super) struct FailedPlacements {
    pub free: BTreeSet<Shape>,
    pub preempting: BTreeSet<(Shape, u8, bool)>,
    pub guaranteed: BTreeSet<(Arc<str>, Arc<str>)>,
}
