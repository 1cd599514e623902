//! The requests of the key-value store's protocol.

use crate::ids::Revision;
use crate::messages::{Call, Destination};
use crate::wire::kv::Txn;

/// Creates a call that reads one key.
pub fn get(key: &str, timeout_ms: u64) -> Call {
    read_request(Destination::KvStore, format!("/kv/{key}"), timeout_ms)
}

/// Creates a call that reads a page of the keys under a prefix, with their values. `after`
/// is the last key of the previous page; `None` for the first page.
pub fn list(prefix: &str, after: Option<&str>, timeout_ms: u64) -> Call {
    let after = after.map(|key| format!("&from={key}")).unwrap_or_default();
    let path = format!("/kv?under={prefix}{after}&limit=500");
    read_request(Destination::KvStore, path, timeout_ms)
}

/// Creates a watch: a call that waits up to `wait_ms` for changes under a prefix after
/// a revision.
pub fn watch(prefix: &str, after: Revision, wait_ms: u64, timeout_ms: u64) -> Call {
    let path = format!("/follow?under={prefix}&from={after}&waitMs={wait_ms}");
    read_request(Destination::KvWatch, path, timeout_ms)
}

/// Creates a watch that doesn't wait: a call that reads the changes under a prefix since
/// a revision.
pub fn read_changes(prefix: &str, after: Revision, timeout_ms: u64) -> Call {
    let path = format!("/follow?under={prefix}&from={after}");
    read_request(Destination::KvStore, path, timeout_ms)
}

/// Creates the call of a transaction. Returns it with its number of writes.
pub fn txn(txn: &Txn, timeout_ms: u64) -> (Call, usize) {
    // Serialization can't fail: keys are strings and numbers are finite.
    let body = serde_json::to_vec(txn).unwrap_or_default();
    let call = write_request("POST", "/txn".into(), body, timeout_ms);
    (call, txn.writes.len())
}

/// Creates a call that requests a lease.
pub fn lease_grant(ttl_ms: u64, timeout_ms: u64) -> Call {
    let body = format!("{{\"ttlMs\":{ttl_ms}}}").into_bytes();
    write_request("POST", "/leases".into(), body, timeout_ms)
}

/// Creates a call that renews a lease.
pub fn lease_renew(lease: u64, timeout_ms: u64) -> Call {
    let path = format!("/leases/{lease}/touch");
    write_request("POST", path, Vec::new(), timeout_ms)
}

/// Creates a call that revokes a lease.
pub fn lease_revoke(lease: u64, timeout_ms: u64) -> Call {
    let path = format!("/leases/{lease}");
    write_request("DELETE", path, Vec::new(), timeout_ms)
}

fn read_request(destination: Destination, path: String, timeout_ms: u64) -> Call {
    Call {
        destination,
        method: "GET",
        path,
        body: Vec::new(),
        timeout_ms,
    }
}

fn write_request(method: &'static str, path: String, body: Vec<u8>, timeout_ms: u64) -> Call {
    Call {
        destination: Destination::KvStore,
        method,
        path,
        body,
        timeout_ms,
    }
}
