//! Records of lease proxying (`h/NODE/N`): the machines whose leases a follower renews
//! while they can't reach the leader. They are hints.

use crate::ids::AgentEpoch;
use serde::{Deserialize, Serialize};

/// What a record takes beside its rows, and a row beside the
/// machine's name, generously.
const HEAD_BYTES: usize = 128;
const ROW_BYTES: usize = 28;

/// What followers say of workers whose leases they renew for the leader.
pub const LEASE_PROXY_PREFIX: &str = "h/";

/// The record of the machines whose leases a follower renews.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LeaseProxyRecord {
    /// Time of day.
    #[serde(rename = "t")]
    pub at: u64,
    /// Each machine with its session.
    #[serde(rename = "m")]
    pub machines: Vec<(String, AgentEpoch)>,
}

/// The key of a follower's record of this number.
pub fn lease_proxy_key(node: &str, number: usize) -> String {
    format!("{LEASE_PROXY_PREFIX}{node}/{number}")
}

/// Divides machines into as many records as the size of a value asks for: a
/// truncated list would have the leader give up machines whose leases are renewed.
pub fn divide(
    machines: Vec<(String, AgentEpoch)>,
    value_bytes: usize,
) -> Vec<Vec<(String, AgentEpoch)>> {
    let max_bytes = value_bytes.saturating_sub(HEAD_BYTES);
    let mut records: Vec<Vec<(String, AgentEpoch)>> = Vec::new();
    let mut bytes = max_bytes;
    for (name, epoch) in machines {
        bytes += name.len() + ROW_BYTES;
        if bytes > max_bytes {
            records.push(Vec::new());
            bytes = name.len() + ROW_BYTES;
        }
        if let Some(record) = records.last_mut() {
            record.push((name, epoch));
        }
    }
    records
}
