//! Violations of the capacity index's invariants, which tests check.

use crate::ids::MachineId;
use thiserror::Error;

/// An inconsistency between the entries of the capacity index and the state of machines.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum CapacityIndexViolation {
    /// The machine is indexed both as schedulable and as unschedulable, or as neither.
    #[error("machine {0} is indexed as both schedulable and unschedulable, or as neither")]
    Unclassified(MachineId),
    /// The machine's entry doesn't match the machine's current free capacity.
    #[error("entry of machine {0} does not match its free capacity")]
    Misplaced(MachineId),
    /// The index has surplus or missing entries. The counts are those of entries by
    /// capacity, by cached image and by image being pulled.
    #[error("entry counts (capacity, cached, pulling): found {found:?}, expected {expected:?}")]
    EntryCounts {
        /// The numbers of entries in the index.
        found: [usize; 3],
        /// The numbers of entries that follow from the states of all machines.
        expected: [usize; 3],
    },
}
