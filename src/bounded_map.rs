//! A map that evicts its oldest entries, so that a controller's memory of jobs is
//! bounded.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// Position of an entry in the order of insertion, counted from 1.
type Sequence = u64;

#[derive(Debug)]
struct Entry<V> {
    sequence: Sequence,
    value: V,
}

/// A map of at most `capacity` entries. Inserting a new key into a full map evicts the
/// entry that was inserted first.
#[derive(Debug)]
pub struct BoundedMap<K, V> {
    capacity: usize,
    entries: HashMap<K, Entry<V>>,
    insertion_order: BTreeMap<Sequence, K>,
    last_sequence: Sequence,
}

impl<K: Clone + Eq + Hash, V> BoundedMap<K, V> {
    /// Creates an empty map that holds at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        BoundedMap {
            capacity,
            entries: HashMap::new(),
            insertion_order: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Returns the value of a key, or `None` if the key was never inserted or has been
    /// evicted.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets the value of a key. A key that is already in the map keeps its position in
    /// the order of eviction.
    pub fn insert(&mut self, key: K, value: V) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.value = value;
            return;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.insertion_order.insert(sequence, key.clone());
        self.entries.insert(key, Entry { sequence, value });
        if self.entries.len() > self.capacity {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, oldest)) = self.insertion_order.pop_first() {
            self.entries.remove(&oldest);
        }
    }

    /// Removes a key and its value, if the key is in the map.
    pub fn remove(&mut self, key: &K) {
        if let Some(entry) = self.entries.remove(key) {
            self.insertion_order.remove(&entry.sequence);
        }
    }
}
