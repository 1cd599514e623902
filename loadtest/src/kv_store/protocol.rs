//! The bodies of messages to and from the key-value store, by its published
//! protocol.

use super::storage::Item;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A compare of a transaction: a key has this revision.
#[derive(Deserialize)]
pub(super) struct CompareBody {
    #[serde(rename = "k")]
    pub(super) key: String,
    #[serde(rename = "retouche")]
    pub(super) revision: u64,
}

/// A change of a transaction: a key is set, or deleted.
#[derive(Deserialize)]
pub(super) struct WriteBody {
    pub(super) set: Option<String>,
    #[serde(rename = "v")]
    pub(super) value: Option<Box<RawValue>>,
    #[serde(rename = "bail")]
    pub(super) lease: Option<u64>,
    #[serde(rename = "drop")]
    pub(super) delete: Option<String>,
}

/// A transaction: all writes, if all compares hold.
#[derive(Deserialize)]
pub(super) struct TransactionBody {
    #[serde(rename = "guards", default)]
    pub(super) compares: Vec<CompareBody>,
    #[serde(default)]
    pub(super) writes: Vec<WriteBody>,
}

/// The request for a lease.
#[derive(Deserialize)]
pub(super) struct GrantBody {
    #[serde(rename = "ttlMs")]
    pub(super) ttl_ms: u64,
}

/// A key with its value.
#[derive(Serialize)]
pub(super) struct Row<'a> {
    #[serde(rename = "k")]
    key: &'a str,
    #[serde(rename = "v")]
    value: &'a RawValue,
    #[serde(rename = "retouche")]
    revision: u64,
    #[serde(rename = "bail", skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
}

impl<'a> Row<'a> {
    pub(super) fn new(key: &'a str, item: &'a Item) -> Row<'a> {
        Row {
            key,
            value: &item.value,
            revision: item.revision,
            lease: item.lease,
        }
    }
}

/// Keys in their order, as many as fit on a page.
#[derive(Serialize)]
pub(super) struct Page<'a> {
    pub(super) rows: Vec<Row<'a>>,
    pub(super) truncated: bool,
    #[serde(rename = "tirage")]
    pub(super) revision: u64,
}
