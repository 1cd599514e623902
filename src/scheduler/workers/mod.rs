//! The workers as the leader sees them: heartbeats, commands, failures.

pub(super) mod direct_commands;
pub(super) mod failure_detection;
pub(super) mod heartbeats;
pub(super) mod lease_proxies;
pub(super) mod machines;
