//! Dependencies between jobs. A job starts once every job that it depends on is done,
//! and is cancelled as soon as one of them is. Nothing here does I/O or knows the
//! time.
//!
//! - [`validation`]: which dependencies a submission may name.
//! - [`status`]: whether a job may start, by the records of its dependencies alone;
//!   any controller can tell.
//! - [`graph`]: the dependencies between the jobs that a leader holds.
//! - [`propagation`]: how urgent a job is by its dependents.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod graph;
pub mod propagation;
pub mod status;
pub mod validation;
