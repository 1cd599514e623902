//! Tasks that leave their machine for other work: preemption, migration, compaction.

pub(super) mod compaction;
pub(super) mod image_displacement;
pub(super) mod migration;
pub(super) mod preemption;
