//! What a submission may name as needed.

use lilacfork_common::ids::JobId;
use std::collections::HashSet;
use thiserror::Error;

/// What is wrong with the jobs that a submission names as needed.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum DependencyError {
    /// A job can't wait for itself.
    #[error("a job can't need itself")]
    SelfDependency,
    /// A job is named twice.
    #[error("{0} is named twice")]
    Duplicate(JobId),
}

/// Checks the names that a submission needs. That each is the name of a job that was
/// accepted is for the records to say; since only accepted jobs may be named, and a
/// job's needs never change, nothing can come to need itself through others.
pub fn validate(own: &JobId, needs: &[JobId]) -> Result<(), DependencyError> {
    let mut seen = HashSet::new();
    for need in needs {
        if need == own {
            return Err(DependencyError::SelfDependency);
        }
        if !seen.insert(need) {
            return Err(DependencyError::Duplicate(need.clone()));
        }
    }
    Ok(())
}
