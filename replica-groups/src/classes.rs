//! Which jobs span machines, as configured by operators. This is asked once, when a
//! job is accepted; from then on the job's own record says so.

use crate::shape::{Shape, MIN_PARTS};
use std::collections::BTreeMap;
use thiserror::Error;

/// The classes whose replicas span machines.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ReplicaClasses {
    /// Parts per replica, by class.
    parts: BTreeMap<String, u32>,
    /// Whether each gang is a group by itself.
    gangs: bool,
}

/// Why a class's number of parts can't be accepted.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum ReplicaClassError {
    /// The value isn't a whole number.
    #[error("not a whole number of parts")]
    NotANumber,
    /// A replica with so few parts doesn't span machines.
    #[error("a replica that spans machines has at least {MIN_PARTS} parts")]
    TooFewParts,
}

/// Why a job can't be grouped as its class asks for.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum ShapeError {
    /// Its tasks don't divide into whole replicas.
    #[error("the tasks don't divide into whole replicas")]
    Uneven,
    /// A record has to hold a replica whole, and its replica has more parts than that.
    #[error("the replica has more parts than a record holds")]
    TooLarge,
}

/// The attributes of a job that decide on its grouping.
#[derive(Clone, Copy, Debug)]
pub struct GroupingRequest<'a> {
    /// Its class.
    pub class: &'a str,
    /// Whether it is a gang: a job whose tasks run together or not at all.
    pub gang: bool,
    /// Whether its tasks are replicas of a service.
    pub service: bool,
    /// How many tasks it has.
    pub tasks: u32,
}

impl ReplicaClasses {
    /// Sets the parts per replica of a class, from the text of an operator's setting.
    pub fn insert(&mut self, class: &str, value: &str) -> Result<(), ReplicaClassError> {
        let parts = value.trim().parse::<u32>();
        let parts = parts.map_err(|_| ReplicaClassError::NotANumber)?;
        if parts < MIN_PARTS {
            return Err(ReplicaClassError::TooFewParts);
        }
        self.parts.insert(class.to_string(), parts);
        Ok(())
    }

    /// Sets whether each gang is a group by itself.
    pub fn set_gangs(&mut self, gangs: bool) {
        self.gangs = gangs;
    }

    /// The classes whose replicas span machines, with their parts per replica.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u32)> {
        self.parts
            .iter()
            .map(|(class, parts)| (class.as_str(), *parts))
    }

    /// How a new job is grouped; `Ok(None)`: it isn't. A record holds at most
    /// `max_parts` parts.
    pub fn shape(
        &self,
        request: GroupingRequest,
        max_parts: u32,
    ) -> Result<Option<Shape>, ShapeError> {
        let parts = match self.parts.get(request.class) {
            Some(parts) if request.service => *parts,
            _ if request.gang && self.gangs && request.tasks > 1 => request.tasks,
            _ => return Ok(None),
        };
        if parts > max_parts {
            return Err(ShapeError::TooLarge);
        }
        let shape = Shape::new(parts, request.tasks).ok_or(ShapeError::Uneven)?;
        Ok(Some(shape))
    }
}
