//! Checks the dependencies that a submission names.

use lilacfork_common::ids::JobId;
use std::collections::HashSet;
use thiserror::Error;

/// The reason for which the dependencies of a submission are rejected.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum DependencyError {
    /// The submission names its own job as a dependency.
    #[error("a job can't need itself")]
    SelfDependency,
    /// The submission names a job more than once.
    #[error("{0} is named twice")]
    Duplicate(JobId),
}

/// Checks the dependencies of a submission. The caller checks from the records that each
/// dependency is an accepted job. Only accepted jobs may be named and a job's dependencies
/// never change, so there can be no cycle.
pub fn validate(own: &JobId, dependencies: &[JobId]) -> Result<(), DependencyError> {
    let mut seen = HashSet::new();
    for dependency in dependencies {
        if dependency == own {
            return Err(DependencyError::SelfDependency);
        }
        if !seen.insert(dependency) {
            return Err(DependencyError::Duplicate(dependency.clone()));
        }
    }
    Ok(())
}
