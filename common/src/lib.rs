//! What lilacfork's packages share and what depends on none of them: identifiers,
//! time, resources, and the attribution of failures.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod faults;
pub mod ids;
pub mod resources;
pub mod time;
