//! Questions to the leader of a data centre, and its answers.

use bh_membership::Claims;
use bh_membership::Grant;
use bh_membership::TargetView;
use bh_protocol::job::Status;
use bh_protocol::shape::Shape;
use bh_protocol::target::AnnounceReply;
use bh_protocol::target::Announcement;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// A question to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderCall {
    /// A target announced itself to some entry.
    Announce(Announcement),
    /// An entry renews the targets it owns.
    Renew(Claims),
    /// All targets.
    Targets,
    /// Jobs of a customer, or one of them.
    Jobs {
        /// Customer.
        customer: Arc<str>,
        /// One job, or all.
        job: Option<u64>,
    },
    /// Whether a shape can ever be placed.
    CanFit(Shape),
    /// Fragmentation for the shapes that wait or are guaranteed.
    Fragmentation,
}

/// The leader's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderAnswer {
    /// To [`LeaderCall::Announce`].
    Announced(AnnounceReply),
    /// To [`LeaderCall::Renew`].
    Renewed(Grant),
    /// To [`LeaderCall::Targets`].
    Targets(Vec<TargetView>),
    /// To [`LeaderCall::Jobs`].
    Jobs(Vec<Status>),
    /// To [`LeaderCall::CanFit`]; `None` while it is not known.
    CanFit(Option<bool>),
    /// To [`LeaderCall::Fragmentation`].
    Fragmentation(FragmentationReport),
}

/// Fragmentation of one data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FragmentationReport {
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Accelerators of all live workers.
    pub accelerators: u32,
    /// Free ones among them.
    pub free: u32,
    /// Guaranteed shapes.
    pub guaranteed: usize,
    /// Guaranteed shapes without hardware behind them.
    pub uncovered: usize,
    /// One row for each shape that waits or is guaranteed.
    pub shapes: Vec<ShapeFragmentation>,
}

/// Fragmentation for one shape.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShapeFragmentation {
    /// The shape.
    pub shape: Shape,
    /// Free accelerators that whole copies of it could take.
    pub usable: u32,
    /// The share of free accelerators that cannot serve it, from 0 to 1.
    pub fragmentation: f64,
}
