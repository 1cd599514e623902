//! The leader's handling of machines and their workers: heartbeats, reconciliation, commands and
//! failure detection.

pub(super) mod failure_detection;
pub(super) mod lease_proxies;

mod commands;
mod direct_commands;
mod failure_attribution;
mod heartbeats;
mod machines;
mod reconciliation;
mod task_exits;
mod zone_health;
