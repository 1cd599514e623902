//! The records in the key-value store: their keys, formats and versions, and how they are
//! split to stay within the store's limits.
//!
//! This module doesn't depend on the actors that read and write the records. Formats that
//! a released version has written stay readable; docs/DEPENDENCIES.md describes the formats
//! of both versions that may use the same data.
//!
//! | key | record | written by |
//! | --- | --- | --- |
//! | `leader/key`, `leader/term` | [`leadership`] | candidates, the leader |
//! | `j/ID`, `f/ID` | [`jobs`] | any controller; the leader |
//! | `p/ID/N`, `p/ID/FIRST-LAST` | [`placements`] | the leader |
//! | `h/NODE/N` | [`lease_proxies`] | the follower NODE |
//! | `catalog` | [`catalog`] | the leader |
//! | `learned` | [`estimates`] | the leader |

pub mod catalog;
pub mod estimates;
pub mod jobs;
pub mod leadership;
pub mod lease_proxies;
pub mod placements;

/// Returns the id of the write that stored a final record or a placement record.
pub fn write_id_of(record: &serde_json::Value) -> Option<u64> {
    record.get("w").and_then(|id| id.as_u64())
}

/// Returns whether a field has its default value and can be left out of a record.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
