//! Log lines and counts of submitted jobs, with the customer. Entries do not know the rules, so only the leader can name the customer of a
//! call.

use super::core_node::CoreNode;
use super::load_reports::CUSTOMER_LABEL;
use crate::calls::Answer;
use crate::calls::Call;
use bh_workload::state::Place;
use bh_workload::state::Refusal;
use bh_workload::state::Workload;
use std::sync::Arc;

/// A submitted job before it is decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Submission {
    /// Name of the queue and the job, and the caller.
    place: Place,
    /// Name of the queue.
    queue: Arc<str>,
    /// Priority of the queue.
    priority: u32,
    /// Customer that submits the job; `None` on a public queue if the caller is not identified.
    customer: Option<Arc<str>>,
    /// Whether the record contains the job already, because it was sent before.
    is_resend: bool,
}

impl Submission {
    /// Returns the submission in a call. Returns `None` for other calls, and for submissions without a known queue and a valid key: anybody
    /// can send those, and lines about them would take the place of others in the leader's log. The entry logs and counts them.
    pub fn of_call(workload: &Workload, call: &Call) -> Option<Self> {
        let Call::Submit { place, .. } = call else {
            return None;
        };
        let found = workload.find(place).ok()?;
        Some(Self {
            place: place.clone(),
            queue: found.queue.name.clone(),
            priority: found.queue.priority,
            customer: found.customer.map(|customer| customer.name.clone()),
            is_resend: workload.find_job(place).is_ok(),
        })
    }

    /// Logs the decision and counts it for the customer. A job that is sent again after its acceptance is not logged again.
    pub fn log(&self, core: &CoreNode, answer: &Answer) {
        let customer = self.customer.as_deref();
        let name = customer.unwrap_or("-");
        let path = &*self.place.path;
        match answer {
            Answer::Done if !self.is_resend => {
                log::info!(path, queue = &*self.queue, priority = self.priority, customer = name; "job accepted");
            }
            Answer::Refused(Refusal::Cancelled) => {
                self.count_refusal(core);
                core.metrics.count("submissions_after_cancel", 1);
                let cancelled_ms = core.group.machine.read().cancelled_early_ms(&self.place);
                let cancelled_ms_ago =
                    cancelled_ms.map_or(0, |at_ms| core.wall_ms().saturating_sub(at_ms));
                log::info!(path, queue = &*self.queue, priority = self.priority, cancelled_ms_ago, customer = name; "job refused: it was cancelled before its submission arrived");
            }
            Answer::Refused(reason) => {
                self.count_refusal(core);
                log::info!(path, queue = &*self.queue, priority = self.priority, reason:? = reason, customer = name; "job refused");
            }
            // Admission control logs its refusals itself, with the retry time.
            Answer::Busy { .. } => self.count_refusal(core),
            _ => {}
        }
    }

    fn count_refusal(&self, core: &CoreNode) {
        let label = (CUSTOMER_LABEL, self.customer.as_deref());
        core.metrics
            .count_with("customer_submissions_refused", label, 1);
    }
}
