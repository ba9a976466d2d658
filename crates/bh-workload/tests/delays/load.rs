//! What is handed in at a site.

/// What is handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Jobs of one rank and two steps.
    Plain,
    /// Jobs of all ranks, in two data centres, on workers that are smaller: few tasks each, for which there is room at once.
    Narrow,
    /// The same and wide gangs, which wait for room.
    Mixed,
    /// The same, and some are slower outside a rack of their own.
    Racks,
}
