//! What is stored in the key-value store: keys, formats, versions, and how records are
//! split to stay below the store's limits.
//!
//! Records are below all actors: nothing here depends on who reads or writes them. A
//! format that a released version has written stays readable; docs/DEPENDENCIES.md
//! has the formats of both versions that may work on one set of data.
//!
//! | key | record | written by |
//! | --- | --- | --- |
//! | `leader/key`, `leader/term` | [`leadership`] | candidates, the leader |
//! | `j/ID`, `f/ID` | [`jobs`] | any controller; the leader |
//! | `p/ID/N`, `p/ID/FIRST-LAST` | [`placements`] | the leader |
//! | `h/NODE/N` | [`lease_proxies`] | that follower |
//! | `catalog` | [`catalog`] | the leader |
//! | `learned` | [`estimates`] | the leader |

pub mod catalog;
pub mod estimates;
pub mod jobs;
pub mod leadership;
pub mod lease_proxies;
pub mod placements;

/// Identifies the write that put a final record or a placement record.
pub fn write_id_of(record: &serde_json::Value) -> Option<u64> {
    record.get("w").and_then(|id| id.as_u64())
}

/// Whether a field has its default value and can be left out of a record.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
