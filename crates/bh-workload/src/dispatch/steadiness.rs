//! How far the past crashes of a worker speak against it.

/// How far the past crashes of a worker speak against it. A task under which a worker has crashed starts on a cleaner one where it can: a crash of
/// such a worker is evidence against the task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Steadiness {
    /// It has not crashed lately.
    #[default]
    Clean,
    /// It has crashed lately, and has not again for some seconds.
    Recovered,
    /// It has crashed in the last few seconds, and may do so again.
    Unsteady,
}
