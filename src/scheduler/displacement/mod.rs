//! Displacement of tasks from their machines: preemption, migration and compaction.

pub(super) mod compaction;
pub(super) mod image_displacement;
pub(super) mod migration;
pub(super) mod preemption;
