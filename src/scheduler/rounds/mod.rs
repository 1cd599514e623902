//! Rounds: waiting and expected work in queue order takes free capacity.

pub(super) mod capacity_sync;
pub(super) mod demand_forecast;
pub(super) mod pacing;
pub(super) mod pending_capacity;
pub(super) mod queue_order;
pub(super) mod round;
pub(super) mod task_placement;
