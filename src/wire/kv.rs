//! The key-value store: keys, transactions (compare-and-swap), watches, leases.

use serde::{Deserialize, Serialize};

/// The value of a key.
pub type Value = serde_json::Value;

/// A key with its value.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// A page of keys.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// The keys, in order.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue>,
    /// There are more pages.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
    /// The revision of the store at which they were read.
    #[serde(rename = "tirage")]
    pub revision: u64,
}

/// The response to a transaction.
#[derive(Debug, Deserialize)]
pub struct TxnResponse {
    /// The revision of the store.
    #[serde(rename = "tirage")]
    pub revision: u64,
    /// The keys whose compares failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A compare of a transaction.
#[derive(Clone, Debug, Serialize)]
pub struct Compare {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The mod revision that the key must have; 0: it must not exist.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// A write operation of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum WriteOp {
    /// Puts a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease that the key expires with.
        #[serde(rename = "bail", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: all its writes happen if all its compares hold, else none does.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Txn {
    /// What has to hold.
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    /// What it writes.
    #[serde(rename = "writes")]
    pub writes: Vec<WriteOp>,
}

impl Txn {
    /// Requires that a key has this mod revision; 0: that it doesn't exist.
    pub fn compare(mut self, key: impl Into<String>, mod_revision: u64) -> Self {
        self.compares.push(Compare {
            key: key.into(),
            mod_revision,
        });
        self
    }

    /// Puts a key.
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(WriteOp::Put {
            key: key.into(),
            value,
            lease: None,
        });
        self
    }

    /// Puts a key that expires with a lease.
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.writes.push(WriteOp::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }

    /// Deletes a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(WriteOp::Delete { key: key.into() });
        self
    }
}

/// The response to the request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseGranted {
    /// The lease's number.
    #[serde(rename = "bail")]
    pub lease: u64,
}

/// A change of a key.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was put.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// The value that was put.
    #[serde(rename = "v", default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// The response to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The revision of the store up to which it lists changes.
    #[serde(rename = "tirage")]
    pub revision: u64,
    /// The changes since.
    pub events: Vec<WatchEvent>,
}
