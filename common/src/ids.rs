//! Newtypes for names and numbers, so that a session never passes for an
//! attempt and a token never for a sequence.

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;
use std::rc::Rc;

macro_rules! name {
    ($(#[$doc:meta])* $t:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $t(pub Rc<str>);

        impl $t {
            /// The name, as it goes over the wire.
            pub fn new(s: &str) -> Self {
                $t(Rc::from(s))
            }
            /// The name, as it goes over the wire.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $t {
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
name!(
    /// An image: weights and engine.
    ImageId
);

macro_rules! number {
    ($(#[$doc:meta])* $t:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $t(pub u64);

        impl fmt::Display for $t {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number!(
    /// One try at a task; never reused within a job's shard.
    Attempt
);
number!(
    /// A worker's session; it grows when the worker's lease expires.
    AgentEpoch
);
number!(
    /// A revision of the state service.
    Revision
);
number!(
    /// A leadership; grows with every election.
    Term
);
number!(
    /// What workers compare: (term, sequence) in one integer.
    FencingToken
);

/// Bits of a token that hold the leader's own sequence. Twenty leave the whole
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
    /// The next token of the same term; `None` when the term's are used up.
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
    /// Its number in the job.
    pub index: u32,
}

impl TaskRef {
    /// Reads `JOB/INDEX`; `None` for anything else.
    pub fn parse(s: &str) -> Option<TaskRef> {
        let (job, index) = s.rsplit_once('/')?;
        Some(TaskRef {
            job: JobId::new(job),
            index: index.parse().ok()?,
        })
    }
}

impl TaskRef {
    /// Reads a name in a message; one that no task can have is `None`.
    pub fn deserialize_name<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<TaskRef>, D::Error> {
        struct Name;
        impl Visitor<'_> for Name {
            type Value = Option<TaskRef>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a task's name")
            }
            fn visit_str<E>(self, name: &str) -> Result<Self::Value, E> {
                Ok(TaskRef::parse(name))
            }
        }
        deserializer.deserialize_str(Name)
    }
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
