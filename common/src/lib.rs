//! Types shared by the lilacfork packages: identifiers, time, resources, failure
//! attribution and the limit on waiting. This package depends on none of the others.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod faults;
pub mod ids;
pub mod resources;
pub mod time;
pub mod waiting;
