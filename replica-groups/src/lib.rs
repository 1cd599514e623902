//! Replica groups: replicas that span several machines, each of which is started,
//! migrated and repaired as one unit.
//!
//! This package owns the life cycle of groups and nothing else: the observed state
//! of a group's parts and the time go in, and the actions that the group asks for
//! come out. Capacity, quotas, writes and commands are up to the scheduler. Nothing
//! here does I/O or reads a clock, so a trace replays exactly. The design is
//! discussed in `docs/REPLICA_GROUPS.md`.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod classes;
pub mod group;
pub mod job_groups;
pub mod metrics;
pub mod migration;
pub mod observation;
pub mod record;
pub mod registry;
pub mod shape;
