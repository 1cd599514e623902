//! Scheduling rounds, which assign free capacity to queued jobs and forecast demand in
//! queue order.

pub(super) mod capacity_sync;
pub(super) mod demand_forecast;
pub(super) mod pacing;
pub(super) mod pending_capacity;
pub(super) mod round;
pub(super) mod task_placement;

mod gang;
mod machine_choice;
mod probes;
mod queue_order;
