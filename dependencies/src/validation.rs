//! Which dependencies a submission may name.

use lilacfork_common::ids::JobId;
use std::collections::HashSet;
use thiserror::Error;

/// What is wrong with the dependencies that a submission names.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum DependencyError {
    /// A job can't depend on itself.
    #[error("a job can't need itself")]
    SelfDependency,
    /// A job is named twice.
    #[error("{0} is named twice")]
    Duplicate(JobId),
}

/// Checks the dependencies of a submission. That each is the name of a job that was
/// accepted follows from the records alone and isn't checked here; since only accepted
/// jobs may be named, and a job's dependencies never change, there can be no cycle.
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
