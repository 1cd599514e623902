//! Tests of one group's life cycle: single steps and random interleavings of events.

mod fixtures;
mod life_cycle;
mod migration;
mod model;
mod random_interleavings;
