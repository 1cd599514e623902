//! Scale out and scale in, and the online estimates on which both are based.

mod arrivals;
mod boot_times;
pub(super) mod estimate_store;
mod moving_average;
mod offer_choice;
pub(super) mod offers;
pub(super) mod online_estimates;
mod pending_machines;
mod scale_in;
pub(super) mod scale_out;
