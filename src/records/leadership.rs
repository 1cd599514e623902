//! Records of the leader election (`leader/`): the current leader and the term.

use crate::ids::Term;
use serde::{Deserialize, Serialize};

/// The key prefix of the election's records.
pub const LEADER_PREFIX: &str = "leader/";
/// The key that the leader holds under its lease.
pub const LEADER_KEY: &str = "leader/key";
/// The key of the term record, which isn't under a lease and so outlasts each leader.
pub const TERM_KEY: &str = "leader/term";

/// The value of the leader key.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's node name.
    pub node: String,
    /// Distinguishes this process from an earlier one of the same name.
    pub incarnation: u64,
    /// The term of the leader.
    pub term: Term,
    /// The lease under which the key is held. A claim that is applied late may be under a
    /// lease that the claiming controller has abandoned.
    #[serde(default)]
    pub lease: u64,
}

/// The value of the term key.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term of the latest leader.
    pub term: Term,
    /// Whether a leader has found that the key-value store's announced limits are in
    /// effect. Versions before 0.2 don't know the field and leave it out when they write.
    #[serde(default, skip_serializing_if = "super::is_default")]
    pub limits_lowered: bool,
}
