//! Placements that failed within one pass over the queue.

use bh_protocol::shape::Shape;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Shapes that didn't fit in the current pass over the queue, so that equal jobs are not attempted again.
#[derive(Default)]
pub(super) struct FailedPlacements {
    /// Shapes that don't fit on free accelerators.
    pub free: BTreeSet<Shape>,
    /// Shape, priority and starvation of jobs that don't fit even if other jobs are stopped.
    pub preempting: BTreeSet<(Shape, u8, bool)>,
    /// Customers and shape names without an unused cell.
    pub guaranteed: BTreeSet<(Arc<str>, Arc<str>)>,
}
