//! Violations of the capacity index's invariants. Tests check for them.

use crate::ids::MachineId;
use thiserror::Error;

/// An invariant of the capacity index that doesn't hold.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum CapacityIndexViolation {
    /// A machine is indexed as schedulable and as unschedulable, or as neither.
    #[error("machine {0} is neither open nor closed")]
    Unclassified(MachineId),
    /// A machine isn't where its free capacity belongs.
    #[error("machine {0} isn't indexed by its free capacity")]
    Misplaced(MachineId),
    /// There are entries of machines that aren't indexed, or some are missing.
    #[error("entries by capacity, image and pulling image: {found:?}, expected {expected:?}")]
    EntryCounts {
        /// The entries that the index holds.
        found: [usize; 3],
        /// The entries that it should hold.
        expected: [usize; 3],
    },
}
