//! Failure attribution: decides whether a failed task is evidence of a faulty machine or
//! of a faulty job.
//!
//! On a faulty machine the tasks of all jobs fail; a job that was submitted with a
//! mistake fails on every machine. [`MachineFaults`] holds the evidence against a
//! machine, and [`CircuitBreaker`] the evidence against a job. Both are given up by
//! probes, because nothing else happens on a machine or to a job that isn't used.

mod circuit_breaker;
mod machine_faults;

pub use circuit_breaker::CircuitBreaker;
pub use machine_faults::{FailureKind, MachineFaults, TaskFailure};
