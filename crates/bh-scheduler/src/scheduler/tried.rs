//! What one pass over the queue has found out.

use bh_protocol::shape::Shape;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What a pass has found out about shapes that do not fit, so that equal jobs are not tried again.
#[derive(Default)]
pub(super) struct Tried {
    pub free: BTreeSet<Shape>,
    pub preempting: BTreeSet<(Shape, u8, bool)>,
    pub guaranteed: BTreeSet<(Arc<str>, Arc<str>)>,
}
