//! Kinds of load on a site.

/// Which jobs are submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Jobs of one priority with two steps each.
    Uniform,
    /// Jobs of all priorities, in two data centres, on smaller workers. Steps have few tasks, for which there is free capacity at once.
    SmallJobs,
    /// As `SmallJobs`, and large gangs, which wait for free capacity.
    LargeGangs,
    /// As `LargeGangs`, and some jobs are slower outside one rack.
    RackAffinity,
}
