//! The current time, which is passed to components with every event.

/// The readings of the monotonic and the wall clock, taken once per turn of the event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The monotonic clock, in milliseconds.
    pub ms: u64,
    /// The wall clock, in milliseconds since the Unix epoch. The wall clocks of different
    /// controllers differ by at most the bound in the settings.
    pub wall_ms: u64,
}
