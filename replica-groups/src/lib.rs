//! Replica groups. A replica group is a replica that spans several machines and is
//! started, migrated and repaired as one unit.
//!
//! This crate implements only the life cycle of groups: it receives the observed state of
//! a group's parts and the current time, and returns the actions to take. The scheduler
//! handles capacity, quotas, writes and commands. This crate does no I/O and reads no
//! clock, so replaying a trace gives exactly the same results. `docs/REPLICA_GROUPS.md`
//! discusses the design.

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
