//! Records of lease proxying (`h/NODE/N`): the machines whose leases a follower renews
//! while they can't reach the leader. They are hints.

use crate::ids::AgentEpoch;
use serde::{Deserialize, Serialize};

/// Bytes of a record beside its rows, generously.
const MAX_RECORD_OVERHEAD_BYTES: usize = 128;
/// Bytes of a row beside the machine's name, generously.
const MAX_ROW_OVERHEAD_BYTES: usize = 28;

/// Prefix of the records of lease proxying.
pub const LEASE_PROXY_PREFIX: &str = "h/";

/// The record of the machines whose leases a follower renews.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LeaseProxyRecord {
    /// Time of day at which it was written, milliseconds.
    #[serde(rename = "t")]
    pub written_wall_ms: u64,
    /// Each machine with the epoch of its agent.
    #[serde(rename = "m")]
    pub machines: Vec<(String, AgentEpoch)>,
}

/// The key of a follower's record of this number.
pub fn lease_proxy_key(node: &str, number: usize) -> String {
    format!("{LEASE_PROXY_PREFIX}{node}/{number}")
}

/// Divides machines into as many records as the size limit of a value requires: with
/// a truncated list the leader would declare machines failed whose leases are renewed.
pub fn split_into_records(
    machines: Vec<(String, AgentEpoch)>,
    max_value_bytes: usize,
) -> Vec<Vec<(String, AgentEpoch)>> {
    let max_bytes = max_value_bytes.saturating_sub(MAX_RECORD_OVERHEAD_BYTES);
    let mut records: Vec<Vec<(String, AgentEpoch)>> = Vec::new();
    let mut bytes = max_bytes;
    for (name, epoch) in machines {
        bytes += name.len() + MAX_ROW_OVERHEAD_BYTES;
        if bytes > max_bytes {
            records.push(Vec::new());
            bytes = name.len() + MAX_ROW_OVERHEAD_BYTES;
        }
        if let Some(record) = records.last_mut() {
            record.push((name, epoch));
        }
    }
    records
}
