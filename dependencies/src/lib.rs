//! Dependencies between jobs. A job starts once every job that it depends on is done, and
//! is cancelled as soon as one of them is cancelled. This crate does no I/O and reads no
//! clock.
//!
//! - [`validation`]: checks the dependencies that a submission names.
//! - [`status`]: determines whether a job may start from the records of its dependencies
//!   alone, which any controller can do.
//! - [`graph`]: the dependency graph of the jobs that a leader manages.
//! - [`propagation`]: derives a job's priority and deadlines from those of its dependents.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod graph;
pub mod job_slab;
pub mod propagation;
pub mod status;
pub mod validation;
