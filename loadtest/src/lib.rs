//! A scale run of lilacfork on one machine: real controllers beside hollow
//! workers, users, a state service and a cloud, all on loopback.
//!
//! "Hollow" means that the protocol is spoken in full while nothing is done: a
//! task "runs" until a clock says that it is over. Each part is a process of its
//! own ([`part`]); [`harness`] starts, disturbs and ends them, and
//! [`checker`] judges the history that they wrote.

#![deny(missing_docs)]
#![warn(clippy::too_many_lines, clippy::cognitive_complexity)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod checker;
pub mod cloud;
pub mod control;
pub mod failover;
pub mod harness;
pub mod history;
pub mod net;
pub mod part;
pub mod process_stats;
pub mod replica_groups;
pub mod report;
pub mod scenario;
pub mod state;
pub mod users;
pub mod workers;
