//! A load test of lilacfork on one machine. Real controllers run together with simulated
//! workers, users, a simulated key-value store and a simulated cloud, and all connections
//! use loopback.
//!
//! The simulators implement the whole protocol without doing the work: a simulated task
//! runs until its configured duration has passed. Each simulator is a separate process
//! ([`process`]). The [`harness`] starts and stops the processes and injects faults, and
//! the [`checker`] checks the history that the harness and the simulators write.

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
