//! Replicas that span machines: replica groups, each started, moved and repaired
//! as one unit.
//!
//! The package owns the life of a group and nothing else: what its parts are
//! seen to do goes in with the time, and what the group wants comes out. Room,
//! quota, writes and commands are the scheduler's. Nothing here has I/O or a
//! clock, so a trace replays exactly. `docs/REPLICA_GROUPS.md` weighs the design.

#![deny(missing_docs)]
#![warn(clippy::too_many_lines, clippy::cognitive_complexity)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod classes;
pub mod group;
pub mod metrics;
pub mod migration;
pub mod observation;
pub mod record;
pub mod registry;
pub mod shape;
