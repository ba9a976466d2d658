//! Optional decisions on admission.

use std::num::NonZeroU32;

/// Optional decisions on admission. A new policy has none of them; a deployment's config file switches each on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionPolicy {
    /// Number of waiting jobs of one customer from which on further ones are refused; `None` for no limit.
    pub max_waiting_jobs: Option<NonZeroU32>,
    /// Whether calls are shed when the leader falls behind.
    pub sheds_load: bool,
    /// Whether submissions are refused that cannot end while they are worth anything.
    pub refuses_hopeless: bool,
}

impl AdmissionPolicy {
    /// Creates a policy without optional decisions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits the waiting jobs of each customer.
    pub fn with_max_waiting_jobs(mut self, max_waiting_jobs: NonZeroU32) -> Self {
        self.max_waiting_jobs = Some(max_waiting_jobs);
        self
    }

    /// Sheds calls when the leader falls behind.
    pub fn with_load_shedding(mut self) -> Self {
        self.sheds_load = true;
        self
    }

    /// Refuses submissions that cannot end while they are worth anything.
    pub fn with_hopeless_refused(mut self) -> Self {
        self.refuses_hopeless = true;
        self
    }

    /// Whether any submission may be refused.
    pub fn may_refuse(&self) -> bool {
        *self != Self::default()
    }
}
