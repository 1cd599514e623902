//! A load test of lilacfork on one machine: real controllers beside simulated
//! workers, users, a key-value store and a cloud, all on loopback.
//!
//! A simulator implements the protocol in full without doing the work: a task
//! "runs" until its time is over. Each simulator is a process of its own
//! ([`process`]); [`harness`] starts and ends them and injects faults, and
//! [`checker`] checks the history that they write.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod checker;
pub mod cloud;
pub mod control;
pub mod failover;
pub mod harness;
pub mod history;
pub mod kv_store;
pub mod net;
pub mod process;
pub mod process_stats;
pub mod replica_groups;
pub mod report;
pub mod scenario;
pub mod users;
pub mod workers;
