//! lilacfork: a scheduler for fleets that serve language models.
//!
//! The key-value store is the only source of truth; all other messages are hints. The
//! modules form layers, from the lowest to the highest:
//!
//! - [`ids`], [`messages`], [`wire`]: identifiers, the messages between the actors and
//!   the reactor, and the protocols of users, workers, the cloud, the key-value store
//!   and peers;
//! - [`records`]: the records in the key-value store;
//! - [`limits`], [`token_bucket`], [`kv_client`]: the client of the key-value store;
//! - the actors: plain structs that receive a message with the time and return
//!   messages: [`election`], [`cancellations`], [`gateway`], [`cloud`], [`fleet`],
//!   [`capacity_index`], [`scheduler`]; [`placement`] and [`slackfit`] hold the
//!   scheduling policy as pure functions;
//! - [`node`]: one controller, which connects the actors;
//! - [`reactor`], [`http`]: I/O on a single thread, independent of jobs.
//!
//! `docs/ARCHITECTURE.md` describes which module owns which state.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub use lilacfork_common::{faults, ids, waiting};

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
