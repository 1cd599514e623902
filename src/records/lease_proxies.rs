//! Records of lease proxying (`h/NODE/N`): the machines whose leases a follower renews as
//! the leader's proxy. The records are hints.

use crate::ids::AgentEpoch;
use serde::{Deserialize, Serialize};

/// An upper bound of a record's size without its rows.
const MAX_RECORD_OVERHEAD_BYTES: usize = 128;
/// An upper bound of a row's size without the machine's name.
const MAX_ROW_OVERHEAD_BYTES: usize = 28;

/// The key prefix of the records of lease proxying.
pub const LEASE_PROXY_PREFIX: &str = "h/";

/// A record of machines whose leases a follower renews.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LeaseProxyRecord {
    /// The time of day at which the record was written, in milliseconds.
    #[serde(rename = "t")]
    pub written_wall_ms: u64,
    /// The names of the machines, each with its agent epoch.
    #[serde(rename = "m")]
    pub machines: Vec<(String, AgentEpoch)>,
}

/// Returns the key of the record with this number of the follower `node`.
pub fn lease_proxy_key(node: &str, number: usize) -> String {
    format!("{LEASE_PROXY_PREFIX}{node}/{number}")
}

/// Divides the machines into as many records as the size limit of a value requires. The
/// list isn't truncated, because the leader would declare machines failed that are missing
/// from it although their leases are renewed.
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
