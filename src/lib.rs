//! lilacfork: a scheduler for fleets that serve language models.
//!
//! The state service decides; everything else is a hint. The modules below are
//! actors (plain structs: message and time in, messages out) joined by
//! [`node`], and one thread of I/O in [`reactor`].

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub use lilacfork_common::{faults, ids};

pub mod bounded_map;
pub mod cancellations;
pub mod capacity_index;
pub mod cloud;
pub mod election;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod kv_client;
pub mod limits;
pub mod messages;
pub mod node;
pub mod placement;
pub mod reactor;
pub mod records;
pub mod scheduler;
pub mod settings;
pub mod slackfit;
pub mod token_bucket;
pub mod tuning;
pub mod usage;
pub mod wire;
