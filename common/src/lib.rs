//! What lilacfork's packages share and what depends on none of them: identifiers,
//! time, resources, and the attribution of failures.

#![deny(missing_docs)]
#![warn(clippy::too_many_lines, clippy::cognitive_complexity)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod faults;
pub mod ids;
pub mod resources;
pub mod time;
