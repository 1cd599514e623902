//! lilacfork: a scheduler for fleets that serve language models.
//!
//! The key-value store decides; everything else is a hint. The modules below are
//! layers, from what knows least to what joins the rest:
//!
//! - [`ids`], [`messages`], [`wire`]: names and numbers, what actors and the reactor
//!   exchange, the protocols of the counterparts;
//! - [`records`]: what is stored;
//! - [`limits`], [`token_bucket`], [`kv_client`]: the way to the key-value store;
//! - the actors, plain structs that take a message and the time and give messages:
//!   [`election`], [`cancellations`], [`gateway`], [`cloud`], [`fleet`],
//!   [`capacity_index`], [`scheduler`], with [`placement`] and [`slackfit`] as pure
//!   policy;
//! - [`node`]: one controller, the actors joined;
//! - [`reactor`], [`http`]: one thread of I/O, which knows nothing of jobs.
//!
//! `docs/ARCHITECTURE.md` says who owns which state.

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
