//! A map that evicts its oldest entries, so that what a process remembers of jobs is
//! bounded.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// The number of an entry in the order of insertion.
type Sequence = u64;

#[derive(Debug)]
struct Entry<V> {
    sequence: Sequence,
    value: V,
}

/// A map of at most `capacity` entries; a new one beyond that evicts the oldest.
#[derive(Debug)]
pub struct BoundedMap<K, V> {
    capacity: usize,
    entries: HashMap<K, Entry<V>>,
    /// Keys in the order of insertion.
    insertion_order: BTreeMap<Sequence, K>,
    last_sequence: Sequence,
}

impl<K: Clone + Eq + Hash, V> BoundedMap<K, V> {
    /// An empty map.
    pub fn new(capacity: usize) -> Self {
        BoundedMap {
            capacity,
            entries: HashMap::new(),
            insertion_order: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// The value of a key, if it is in the map.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets a value; a key that is in the map keeps its age.
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

    /// Removes a key.
    pub fn remove(&mut self, key: &K) {
        if let Some(entry) = self.entries.remove(key) {
            self.insertion_order.remove(&entry.sequence);
        }
    }
}
