//! Scale out and in, and the online estimates that both go by.

mod boot_times;
pub(super) mod estimate_store;
pub(super) mod offers;
pub(super) mod online_estimates;
pub(super) mod scaling;
