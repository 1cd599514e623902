//! Messages to and from the key-value store: keys, transactions (compare-and-swap),
//! watches and leases.

use serde::{Deserialize, Serialize};

/// A JSON value, as the store keeps it under a key.
pub type Value = serde_json::Value;

/// A key of the store with its value and revision.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// Full key, with its prefix.
    #[serde(rename = "k")]
    pub key: String,
    /// Value under the key when the store read it.
    #[serde(rename = "v")]
    pub value: Value,
    /// Store revision of the key's last change.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// A page of the keys under a prefix.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// Keys of this page in lexicographic order, with their values.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue>,
    /// Whether more pages follow.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
    /// Store revision at which the page was read.
    #[serde(rename = "tirage")]
    pub revision: u64,
}

/// The response to a transaction.
#[derive(Debug, Deserialize)]
pub struct TxnResponse {
    /// Store revision at the response: the revision of the commit if the transaction was
    /// committed.
    #[serde(rename = "tirage")]
    pub revision: u64,
    /// Keys whose compares failed; empty if the transaction was committed.
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// A compare of a transaction: the condition that a key has a given mod revision.
#[derive(Clone, Debug, Serialize)]
pub struct Compare {
    /// Key whose mod revision is compared.
    #[serde(rename = "k")]
    pub key: String,
    /// Mod revision that the key must have; 0: the key must not exist.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// A write operation of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum WriteOp {
    /// Puts a value under a key.
    Put {
        /// Key to put.
        #[serde(rename = "set")]
        key: String,
        /// Value to store under the key.
        #[serde(rename = "v")]
        value: Value,
        /// Lease that the key expires with; `None`: the key doesn't expire.
        #[serde(rename = "bail", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: the store applies all writes if all compares hold, and none otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Txn {
    /// Conditions for the commit.
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    /// Write operations that the commit applies.
    #[serde(rename = "writes")]
    pub writes: Vec<WriteOp>,
}

impl Txn {
    /// Adds a compare: the key must have this mod revision, or must not exist if 0.
    pub fn compare(mut self, key: impl Into<String>, mod_revision: u64) -> Self {
        self.compares.push(Compare {
            key: key.into(),
            mod_revision,
        });
        self
    }

    /// Adds a write that puts a key.
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(WriteOp::Put {
            key: key.into(),
            value,
            lease: None,
        });
        self
    }

    /// Adds a write that puts a key which expires with a lease.
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.writes.push(WriteOp::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }

    /// Adds a write that deletes a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(WriteOp::Delete { key: key.into() });
        self
    }
}

/// The response to a request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseGranted {
    /// Number of the granted lease.
    #[serde(rename = "bail")]
    pub lease: u64,
}

/// A change of one key, as a watch reports it: a put or a delete.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// Key of a put; `None`: the change is a delete.
    #[serde(rename = "set", default)]
    pub put_key: Option<String>,
    /// Key of a delete; `None`: the change is a put.
    #[serde(rename = "drop", default)]
    pub deleted_key: Option<String>,
    /// Value of a put; null for a delete.
    #[serde(rename = "v", default)]
    pub value: Value,
    /// Store revision of the change.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// The response to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// Store revision up to which the response lists changes.
    #[serde(rename = "tirage")]
    pub revision: u64,
    /// Changes after the revision that the watch started from.
    pub events: Vec<WatchEvent>,
}
