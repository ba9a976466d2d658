//! Questions to the leader of a data centre, and its answers.

use bh_membership::Claims;
use bh_membership::Grant;
use bh_membership::TargetView;
use bh_protocol::job::Status;
use bh_protocol::shape::Shape;
use bh_protocol::target::AnnounceReply;
use bh_protocol::target::Announcement;
use bh_report::FragmentationReport;
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
