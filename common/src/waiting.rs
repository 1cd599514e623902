//! The protocol's limit on waiting.

/// By the protocol, no job may be left waiting for this long, in milliseconds, while a machine
/// that fits has room and its team is under its limit. Whatever keeps room from a job has to end
/// well before.
pub const MAX_WAIT_MS: u64 = 90_000;
