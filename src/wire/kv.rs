//! The key-value store: keys, transactions (compare-and-swap), watches, leases.

use serde::{Deserialize, Serialize};

/// A value in the state service.
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
    /// There are more.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The revision that they were read at.
    #[serde(rename = "tirage")]
    pub revision: u64,
}

/// The answer to a transaction.
#[derive(Debug, Deserialize)]
pub struct TxnResponse {
    /// The revision of the state service.
    #[serde(rename = "tirage")]
    pub revision: u64,
    /// The keys whose guards failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Serialize)]
pub struct Compare {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The revision that it must have; 0: it must not exist.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum WriteOp {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease that it ends with.
        #[serde(rename = "bail", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Txn {
    /// What must hold.
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    /// What it changes.
    #[serde(rename = "writes")]
    pub writes: Vec<WriteOp>,
}

impl Txn {
    /// Demands that a key has this revision.
    pub fn compare(mut self, key: impl Into<String>, version: u64) -> Self {
        self.compares.push(Compare {
            key: key.into(),
            mod_revision: version,
        });
        self
    }
    /// Sets a key.
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(WriteOp::Put {
            key: key.into(),
            value,
            lease: None,
        });
        self
    }
    /// Sets a key that ends with a lease.
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.writes.push(WriteOp::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }
    /// Removes a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(WriteOp::Delete { key: key.into() });
        self
    }
}

/// A lease that was granted.
#[derive(Debug, Deserialize)]
pub struct LeaseGranted {
    /// Its number.
    #[serde(rename = "bail")]
    pub lease: u64,
}

/// A change that was seen.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The key that was set.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// The key that was removed.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// The value that was set.
    #[serde(rename = "v", default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// The answer to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which it tells.
    #[serde(rename = "tirage")]
    pub revision: u64,
    /// The changes since.
    pub events: Vec<WatchEvent>,
}
