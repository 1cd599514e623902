//! One group's life cycle, step by step and through random interleavings of events.

mod fixtures;
mod life_cycle;
mod migration;
mod model;
mod random_interleavings;
