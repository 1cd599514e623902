//! The message bodies of the key-value store's published protocol.

use super::storage::Item;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A compare of a transaction: holds if the key's last change has this revision, or if the
/// revision is 0 and the key doesn't exist.
#[derive(Deserialize)]
pub(super) struct CompareBody {
    #[serde(rename = "k")]
    pub(super) key: String,
    #[serde(rename = "retouche")]
    pub(super) revision: u64,
}

/// A write of a transaction. It either sets the key `set` to `value`, bound to `lease` if
/// there is one, or deletes the key `delete`.
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

/// A transaction: the store applies all writes if all compares hold, and none otherwise.
#[derive(Deserialize)]
pub(super) struct TransactionBody {
    #[serde(rename = "guards", default)]
    pub(super) compares: Vec<CompareBody>,
    #[serde(default)]
    pub(super) writes: Vec<WriteBody>,
}

/// The request to grant a lease.
#[derive(Deserialize)]
pub(super) struct GrantBody {
    #[serde(rename = "ttlMs")]
    pub(super) ttl_ms: u64,
}

/// A key with its value, as a response to a get or on a page of a list.
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

/// A page of a list: keys in lexicographic order. `truncated` is set if more keys follow.
#[derive(Serialize)]
pub(super) struct Page<'a> {
    pub(super) rows: Vec<Row<'a>>,
    pub(super) truncated: bool,
    #[serde(rename = "tirage")]
    pub(super) revision: u64,
}
