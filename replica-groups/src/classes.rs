//! Operator configuration of the jobs whose replicas span machines.
//!
//! The configuration is evaluated once, when a job is accepted. The result is stored in
//! the job's record, so a later change of the configuration doesn't affect the job.

use crate::shape::{Shape, MIN_PARTS};
use std::collections::BTreeMap;
use thiserror::Error;

/// The operators' settings for replicas that span machines.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ReplicaClasses {
    /// Number of parts per replica, by class.
    parts: BTreeMap<String, u32>,
    /// Whether the tasks of each gang form one group.
    group_gangs: bool,
}

/// The reason that a class's number of parts is rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum ReplicaClassError {
    /// The value isn't an unsigned 32-bit integer.
    #[error("not a whole number of parts")]
    NotANumber,
    /// The value is less than two: a replica with one part doesn't span machines.
    #[error("a replica that spans machines has at least {MIN_PARTS} parts")]
    TooFewParts,
}

/// The reason that a job's tasks can't form the replicas that its class requires.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum ShapeError {
    /// The number of tasks isn't a multiple of the number of parts per replica.
    #[error("the tasks don't divide into whole replicas")]
    Uneven,
    /// A replica has more parts than one placement record holds. All parts of a replica
    /// are stored in the same record.
    #[error("the replica has more parts than a record holds")]
    TooLarge,
}

/// The attributes of a job that determine how its tasks are grouped.
#[derive(Clone, Copy, Debug)]
pub struct GroupingRequest<'a> {
    /// The job's class, which selects the operators' setting for parts per replica.
    pub class: &'a str,
    /// Whether the job is a gang: its tasks run together or not at all.
    pub gang: bool,
    /// Whether the job's tasks are replicas of a service.
    pub service: bool,
    /// Number of tasks in the job.
    pub tasks: u32,
}

impl ReplicaClasses {
    /// Parses an operator's setting and stores it as the number of parts per replica of
    /// `class`.
    pub fn insert(&mut self, class: &str, value: &str) -> Result<(), ReplicaClassError> {
        let parts = value.trim().parse::<u32>();
        let parts = parts.map_err(|_| ReplicaClassError::NotANumber)?;
        if parts < MIN_PARTS {
            return Err(ReplicaClassError::TooFewParts);
        }
        self.parts.insert(class.to_string(), parts);
        Ok(())
    }

    /// Sets whether the tasks of each gang form one group.
    pub fn set_group_gangs(&mut self, group_gangs: bool) {
        self.group_gangs = group_gangs;
    }

    /// Returns the classes whose replicas span machines, with their number of parts per
    /// replica.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u32)> {
        self.parts
            .iter()
            .map(|(class, parts)| (class.as_str(), *parts))
    }

    /// Returns the shape of a new job's replicas, or `Ok(None)` if the job's tasks aren't
    /// grouped. `max_parts` is the number of parts that one placement record holds.
    pub fn shape(
        &self,
        request: GroupingRequest,
        max_parts: u32,
    ) -> Result<Option<Shape>, ShapeError> {
        let parts = match self.parts.get(request.class) {
            Some(parts) if request.service => *parts,
            _ if request.gang && self.group_gangs && request.tasks > 1 => request.tasks,
            _ => return Ok(None),
        };
        if parts > max_parts {
            return Err(ShapeError::TooLarge);
        }
        let shape = Shape::new(parts, request.tasks).ok_or(ShapeError::Uneven)?;
        Ok(Some(shape))
    }
}
