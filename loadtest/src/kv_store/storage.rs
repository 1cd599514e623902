//! Keys, leases and the log of changes. Nothing here knows messages or time limits.

use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

/// How many changes are kept for watches.
const MAX_KEPT_CHANGES: usize = 10_000;

/// A stored value.
pub(super) struct Item {
    pub(super) value: Box<RawValue>,
    pub(super) revision: u64,
    pub(super) lease: Option<u64>,
}

struct Lease {
    ttl_us: u64,
    expires_us: u64,
}

/// A change that watches can see.
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) key: String,
    /// What it was set to; `None`: it was deleted.
    pub(super) value: Option<Box<RawValue>>,
}

/// The store's content.
#[derive(Default)]
pub(super) struct Storage {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    revision: u64,
    changes: VecDeque<Change>,
}

impl Storage {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Begins the next revision; changes up to the next one belong to it.
    pub(super) fn begin_revision(&mut self) {
        self.revision += 1;
    }

    pub(super) fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// The keys with a prefix, in order, from after a key on (from the first one if it
    /// is empty).
    pub(super) fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Item)> {
        let from = if after.is_empty() {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.items
            .range::<str, _>((from, Bound::Unbounded))
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
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// The changes after a revision to keys with a prefix; `None`: some of them aren't
    /// kept any more.
    pub(super) fn changes_since<'a>(
        &'a self,
        revision: u64,
        prefix: &'a str,
    ) -> Option<impl Iterator<Item = &'a Change>> {
        let oldest = self.changes.front().map_or(0, |change| change.revision);
        if self.changes.len() >= MAX_KEPT_CHANGES && revision < oldest {
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

    pub(super) fn grant_lease(&mut self, now: u64, ttl_us: u64) -> u64 {
        self.last_lease += 1;
        let expires_us = now + ttl_us;
        self.leases
            .insert(self.last_lease, Lease { ttl_us, expires_us });
        self.last_lease
    }

    pub(super) fn renew_lease(&mut self, now: u64, lease: u64) {
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.expires_us = now + lease.ttl_us;
        }
    }

    /// All leases have their full time from then on.
    pub(super) fn renew_all_leases(&mut self, from_us: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_us = from_us + lease.ttl_us;
        }
    }

    /// Ends a lease, and deletes the keys that are bound to it.
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
    pub(super) fn expire_leases(&mut self, now: u64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_us <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// How many keys there are.
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// The bytes of all keys and values.
    pub(super) fn bytes(&self) -> usize {
        self.items
            .iter()
            .map(|(key, item)| key.len() + item.value.get().len())
            .sum()
    }
}
