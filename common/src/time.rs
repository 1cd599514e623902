//! The time, as actors are told it.

/// The two clocks, read once per turn by the reactor and passed in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Steady clock, milliseconds.
    pub ms: u64,
    /// Time of day, milliseconds since 1970; shared between controllers up to
    /// the bound in the settings.
    pub wall: u64,
}
