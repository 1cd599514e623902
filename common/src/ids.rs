//! Newtypes for identifiers, so that the compiler tells an agent epoch from an
//! attempt and a fencing token from a sequence number.

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;
use std::rc::Rc;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Rc<str>);

        impl $name {
            /// From the name, as it goes over the wire.
            pub fn new(name: &str) -> Self {
                $name(Rc::from(name))
            }

            /// The name, as it goes over the wire.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// A job, named by its user.
    JobId
);
name!(
    /// A machine, named by the cloud.
    MachineId
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number!(
    /// An attempt to run a task; its number is never reused within a placement range
    /// of the job.
    Attempt
);
number!(
    /// A worker's epoch; it rises when the worker's lease expires.
    AgentEpoch
);
number!(
    /// A revision of the key-value store.
    Revision
);
number!(
    /// A leader's term; it rises with every election.
    Term
);
number!(
    /// A fencing token, which workers compare: (term, sequence) in one integer.
    FencingToken
);

/// Bits of a token that hold the sequence within the term. Twenty leave the whole
/// token exact even for a peer that reads numbers as doubles, for 2^33 terms.
const SEQUENCE_BITS: u32 = 20;

impl FencingToken {
    /// The token of a term with this sequence number.
    pub fn new(term: Term, sequence: u64) -> Self {
        FencingToken((term.0 << SEQUENCE_BITS) | (sequence & ((1 << SEQUENCE_BITS) - 1)))
    }

    /// The term that it belongs to.
    pub fn term(self) -> Term {
        Term(self.0 >> SEQUENCE_BITS)
    }

    /// The next token of the same term; `None` when the term's tokens are used up.
    pub fn next(self) -> Option<FencingToken> {
        let next = FencingToken(self.0 + 1);
        (next.term() == self.term()).then_some(next)
    }
}

/// A task of a job: `run-000412/3`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskRef {
    /// Its job.
    pub job: JobId,
    /// Its index in the job.
    pub index: u32,
}

impl TaskRef {
    /// Reads `JOB/INDEX`; `None` for anything else.
    pub fn parse(name: &str) -> Option<TaskRef> {
        let (job, index) = name.rsplit_once('/')?;
        Some(TaskRef {
            job: JobId::new(job),
            index: index.parse().ok()?,
        })
    }

    /// Deserializes a task's name; one that no task can have is `None`.
    pub fn deserialize_name<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<TaskRef>, D::Error> {
        struct NameVisitor;
        impl Visitor<'_> for NameVisitor {
            type Value = Option<TaskRef>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a task's name")
            }
            fn visit_str<E>(self, name: &str) -> Result<Self::Value, E> {
                Ok(TaskRef::parse(name))
            }
        }
        deserializer.deserialize_str(NameVisitor)
    }
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
