//! Newtypes for identifiers. They prevent one kind of number, such as an agent epoch or a
//! fencing token, from being passed as another, such as an attempt or a sequence number.

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;
use std::rc::Rc;

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Rc<str>);

        impl $name {
            /// Creates the identifier from its form in messages and records.
            pub fn new(name: &str) -> Self {
                $name(Rc::from(name))
            }

            /// Returns the identifier in the form used in messages and records.
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

string_id!(
    /// The identifier of a job, chosen by the user.
    JobId
);
string_id!(
    /// The identifier of a machine, assigned by the cloud.
    MachineId
);

macro_rules! numeric_id {
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

numeric_id!(
    /// The number of an attempt to run a task. It is never reused within a placement range
    /// of the job.
    Attempt
);
numeric_id!(
    /// A worker's agent epoch, which increases when the worker's lease expires.
    AgentEpoch
);
numeric_id!(
    /// A revision of the key-value store.
    Revision
);
numeric_id!(
    /// A leader's term, which increases with every election.
    Term
);
numeric_id!(
    /// A fencing token: a term and a sequence number packed into one integer, so that
    /// workers can compare tokens.
    FencingToken
);

/// The number of bits of a fencing token that hold the sequence number within the term.
/// With 20 bits, the token is exactly representable as a double for 2^33 terms, so that
/// programs that parse numbers as doubles read it correctly.
const SEQUENCE_BITS: u32 = 20;

impl FencingToken {
    /// Creates a token from a term and a sequence number, of which the low 20 bits count.
    pub fn new(term: Term, sequence: u64) -> Self {
        FencingToken((term.0 << SEQUENCE_BITS) | (sequence & ((1 << SEQUENCE_BITS) - 1)))
    }

    /// Returns the term of the leader that issued the token.
    pub fn term(self) -> Term {
        Term(self.0 >> SEQUENCE_BITS)
    }

    /// Returns the next token of the same term, or `None` if the term has no more tokens.
    pub fn next(self) -> Option<FencingToken> {
        let next = FencingToken(self.0 + 1);
        (next.term() == self.term()).then_some(next)
    }
}

/// The identifier of a task, written as `JOB/INDEX`, for example `run-000412/3`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskRef {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's index within the job, starting at 0.
    pub index: u32,
}

impl TaskRef {
    /// Parses `JOB/INDEX`. Returns `None` if `name` doesn't have that form.
    pub fn parse(name: &str) -> Option<TaskRef> {
        let (job, index) = name.rsplit_once('/')?;
        Some(TaskRef {
            job: JobId::new(job),
            index: index.parse().ok()?,
        })
    }

    /// Deserializes a task name. Returns `None` for a string that isn't a valid task name.
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
