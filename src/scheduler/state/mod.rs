//! The leader's state of the unfinished jobs, and how that state is loaded, watched and
//! stored.

pub(super) mod assignment;
pub(super) mod cleanup;
pub(super) mod commit;
mod commit_outcome;
pub(super) mod job;
pub(super) mod job_table;
pub(super) mod job_watch;
pub(super) mod loading;
pub(super) mod placement_ranges;
pub(super) mod quotas;
pub(super) mod transaction;
