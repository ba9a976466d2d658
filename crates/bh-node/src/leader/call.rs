//! Calls to the leader of a data centre's group, and its answers.

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

/// A call to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderCall {
    /// A target announced itself to an entry.
    Announce(Announcement),
    /// An entry renews its leases on the targets it owns.
    Renew(Claims),
    /// Lists all targets.
    Targets,
    /// Lists the jobs of a customer, or one of them.
    Jobs {
        /// Customer.
        customer: Arc<str>,
        /// Number of the job; `None` for all jobs of the customer.
        job: Option<u64>,
    },
    /// Asks whether a shape could be placed if the data centre were empty.
    CanFit(Shape),
    /// Asks for the fragmentation for the queued and the guaranteed shapes.
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
    /// To [`LeaderCall::CanFit`]; `None` while the leader does not know.
    CanFit(Option<bool>),
    /// To [`LeaderCall::Fragmentation`].
    Fragmentation(FragmentationReport),
}
