//! Jobs that need others. A job starts once every job that it needs is done, and is
//! cancelled as soon as one of them is. Nothing here does I/O or knows the time.
//!
//! - [`needs`]: what a submission may name.
//! - [`standing`]: how a job stands by the jobs that it needs, from records alone;
//!   any controller can tell.
//! - [`graph`]: who needs whom among the jobs that a leader holds.
//! - [`urgency`]: how urgent a job is by those that need it.

#![deny(missing_docs)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod graph;
pub mod needs;
pub mod standing;
pub mod urgency;
