//! The store's keys, leases and change log, independent of message formats and rate limits.

use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

/// How many of the latest changes the log keeps for watches.
const MAX_LOGGED_CHANGES: usize = 10_000;

/// A stored value with the revision of its last change.
pub(super) struct Item {
    pub(super) value: Box<RawValue>,
    pub(super) revision: u64,
    pub(super) lease: Option<u64>,
}

struct Lease {
    ttl_us: u64,
    expires_us: u64,
}

/// A change that is reported to watches.
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) key: String,
    /// The new value; `None` if the key was deleted.
    pub(super) value: Option<Box<RawValue>>,
}

/// The content of the key-value store.
#[derive(Default)]
pub(super) struct Storage {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    last_lease_id: u64,
    revision: u64,
    changes: VecDeque<Change>,
}

impl Storage {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Begins a new revision. The changes made until the next call belong to it.
    pub(super) fn begin_revision(&mut self) {
        self.revision += 1;
    }

    pub(super) fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns the keys with a prefix in order, starting after the key `after`, or with the
    /// first key if `after` is empty.
    pub(super) fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Item)> {
        let start = if after.is_empty() {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.items
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    pub(super) fn put(&mut self, key: String, value: Box<RawValue>, lease: Option<u64>) {
        let item = Item {
            value: value.clone(),
            revision: self.revision,
            lease,
        };
        self.items.insert(key.clone(), item);
        self.log_change(key, Some(value));
    }

    pub(super) fn delete(&mut self, key: String) {
        if self.items.remove(&key).is_some() {
            self.log_change(key, None);
        }
    }

    fn log_change(&mut self, key: String, value: Option<Box<RawValue>>) {
        self.changes.push_back(Change {
            revision: self.revision,
            key,
            value,
        });
        if self.changes.len() > MAX_LOGGED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the changes after a revision to keys with a prefix, or `None` if the log no
    /// longer holds all of them.
    pub(super) fn changes_since<'a>(
        &'a self,
        revision: u64,
        prefix: &'a str,
    ) -> Option<impl Iterator<Item = &'a Change>> {
        let oldest = self.changes.front().map_or(0, |change| change.revision);
        if self.changes.len() >= MAX_LOGGED_CHANGES && revision < oldest {
            return None;
        }
        let first = self
            .changes
            .partition_point(|change| change.revision <= revision);
        let later = self.changes.range(first..);
        Some(later.filter(move |change| change.key.starts_with(prefix)))
    }

    pub(super) fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    pub(super) fn grant_lease(&mut self, now_us: u64, ttl_us: u64) -> u64 {
        self.last_lease_id += 1;
        let expires_us = now_us + ttl_us;
        self.leases
            .insert(self.last_lease_id, Lease { ttl_us, expires_us });
        self.last_lease_id
    }

    pub(super) fn renew_lease(&mut self, now_us: u64, lease: u64) {
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.expires_us = now_us + lease.ttl_us;
        }
    }

    /// Sets the expiry of every lease to its full time to live after `from_us`.
    pub(super) fn renew_all_leases(&mut self, from_us: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_us = from_us + lease.ttl_us;
        }
    }

    /// Ends a lease and deletes the keys bound to it. The deletions share one new revision.
    pub(super) fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += u64::from(!keys.is_empty());
        for key in keys {
            self.delete(key);
        }
    }

    /// Ends the leases that have expired.
    pub(super) fn expire_leases(&mut self, now_us: u64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_us <= now_us)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Returns the number of keys.
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns the total size of all keys and values in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.items
            .iter()
            .map(|(key, item)| key.len() + item.value.get().len())
            .sum()
    }
}
