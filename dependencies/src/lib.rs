//! Jobs that need others. A job starts once every job that it needs is done, and is
//! cancelled as soon as one of them is. Nothing here does I/O or knows the time.
//!
//! - [`validation`]: what a submission may name.
//! - [`status`]: how a job stands by the jobs that it needs, from records alone;
//!   any controller can tell.
//! - [`graph`]: who needs whom among the jobs that a leader holds.
//! - [`propagation`]: how urgent a job is by those that need it.

#![deny(missing_docs)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod graph;
pub mod propagation;
pub mod status;
pub mod validation;
