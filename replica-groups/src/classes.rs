//! Which jobs span machines, as the operators say. It is asked once, when a job
//! is accepted; from then on the job's own record says so.

use crate::shape::Shape;
use std::collections::BTreeMap;
use std::fmt;

/// The operators' choice.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ReplicaClasses {
    /// Parts per replica, by class.
    parts: BTreeMap<String, u32>,
    /// Whether each gang is a group by itself.
    gangs: bool,
}

/// Why a job can't be grouped as its class asks for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ShapeError {
    /// Its tasks don't divide into whole replicas.
    Uneven,
    /// Its replica is larger than a record that has to hold it whole.
    TooLarge,
}

impl fmt::Display for ShapeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ShapeError::Uneven => "the tasks don't divide into whole replicas",
            ShapeError::TooLarge => "the replica has more parts than a record holds",
        })
    }
}

/// What of a job decides on its grouping.
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
    /// Takes an operator's line; the error is the reason why it can't be taken.
    pub fn set(&mut self, class: &str, value: &str) -> Result<(), String> {
        let parts: u32 = value
            .trim()
            .parse()
            .map_err(|_| "not a whole number of parts".to_string())?;
        if parts < 2 {
            return Err("a replica that spans machines has at least 2 parts".to_string());
        }
        self.parts.insert(class.to_string(), parts);
        Ok(())
    }

    /// Whether each gang is to be a group by itself.
    pub fn set_gangs(&mut self, gangs: bool) {
        self.gangs = gangs;
    }

    /// The classes whose replicas span machines, with their parts.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u32)> {
        self.parts
            .iter()
            .map(|(class, parts)| (class.as_str(), *parts))
    }

    /// How a new job is grouped; `Ok(None)`: it isn't. A record holds at most
    /// `most` parts.
    pub fn shape(&self, asked: GroupingRequest, most: u32) -> Result<Option<Shape>, ShapeError> {
        let parts = match self.parts.get(asked.class) {
            Some(parts) if asked.service => *parts,
            _ if asked.gang && self.gangs && asked.tasks > 1 => asked.tasks,
            _ => return Ok(None),
        };
        if parts > most {
            return Err(ShapeError::TooLarge);
        }
        match Shape::new(parts, asked.tasks) {
            Some(shape) => Ok(Some(shape)),
            None => Err(ShapeError::Uneven),
        }
    }
}
