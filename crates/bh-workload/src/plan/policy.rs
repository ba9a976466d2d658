//! Optional decisions of the planner.

/// Optional decisions of the planner. A new policy has none of them; a deployment's config file switches each on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Policy {
    /// Shares what no guarantee covers fairly between the customers, if the largest guarantee is at least this many times the smallest one.
    /// `None` if capacity is not shared by customer.
    pub sharing_min_ratio: Option<f64>,
    /// Number of times that runs of one task may be stopped to make room for other work; `None` for no limit. With a limit, stops are priced by
    /// all that they lose.
    pub max_displacements: Option<u32>,
    /// Whether workers are ranked by the run times learnt for each of them, and not only for their data centre.
    pub ranks_workers: bool,
    /// Whether small tasks may use capacity that is held for a gang if they end before the gang can start.
    pub backfills: bool,
    /// Number of workers from which on capacity is shared, displacements are limited and held capacity is used. Smaller fleets are planned as
    /// without these decisions.
    pub min_workers: usize,
}

impl Policy {
    /// Creates a policy without optional decisions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Shares capacity between customers if the largest guarantee is at least `min_ratio` times the smallest one.
    pub fn with_fair_sharing(mut self, min_ratio: f64) -> Self {
        self.sharing_min_ratio = Some(min_ratio);
        self
    }

    /// Limits how often runs of one task are stopped to make room for other work.
    pub fn with_max_displacements(mut self, max_displacements: u32) -> Self {
        self.max_displacements = Some(max_displacements);
        self
    }

    /// Ranks workers by the run times learnt for each of them.
    pub fn with_ranked_workers(mut self) -> Self {
        self.ranks_workers = true;
        self
    }

    /// Makes sharing, the limit on displacements and the use of held capacity depend on a number of workers.
    pub fn with_min_workers(mut self, min_workers: usize) -> Self {
        self.min_workers = min_workers;
        self
    }

    /// The decisions that are in use in a fleet of `workers` workers.
    pub fn in_fleet_of(self, workers: usize) -> Self {
        if workers >= self.min_workers {
            return self;
        }
        Self {
            ranks_workers: self.ranks_workers,
            ..Self::default()
        }
    }

    /// Lets small tasks use capacity that is held for a gang if they end before the gang can start.
    pub fn with_backfill(mut self) -> Self {
        self.backfills = true;
        self
    }
}
