//! A map that forgets its oldest entries, so that what a process remembers of
//! jobs can't grow without end.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// At most `capacity` entries; a new one beyond that removes the oldest.
#[derive(Debug)]
pub struct BoundedMap<K, V> {
    capacity: usize,
    entries: HashMap<K, V>,
    /// Keys in the order in which they came; some may be removed already.
    order: VecDeque<K>,
}

impl<K: Clone + Eq + Hash, V> BoundedMap<K, V> {
    /// An empty map.
    pub fn new(capacity: usize) -> Self {
        BoundedMap {
            capacity,
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// The value of a key, if it is remembered.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key)
    }

    /// How many entries are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets a value; a known key keeps its age.
    pub fn insert(&mut self, key: K, value: V) {
        if self.entries.insert(key.clone(), value).is_some() {
            return;
        }
        self.order.push_back(key);
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.entries.remove(&oldest);
            }
        }
    }

    /// Forgets a key.
    pub fn remove(&mut self, key: &K) {
        if self.entries.remove(key).is_some() {
            self.order.retain(|known| known != key);
        }
    }
}
