//! The time, which actors get with every message.

/// Both clocks, read once per turn of the event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock, in milliseconds.
    pub ms: u64,
    /// Time of day, in milliseconds since 1970. Controllers' clocks differ by no
    /// more than the bound in the settings.
    pub wall: u64,
}
