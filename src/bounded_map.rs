//! A map that forgets its oldest entries, so that what a process remembers of
//! jobs can't grow without end.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// When an entry came, among all others.
type Age = u64;

/// At most `capacity` entries; a new one beyond that removes the oldest.
#[derive(Debug)]
pub struct BoundedMap<K, V> {
    capacity: usize,
    entries: HashMap<K, (Age, V)>,
    /// Keys in the order in which they came.
    by_age: BTreeMap<Age, K>,
    next: Age,
}

impl<K: Clone + Eq + Hash, V> BoundedMap<K, V> {
    /// An empty map.
    pub fn new(capacity: usize) -> Self {
        BoundedMap {
            capacity,
            entries: HashMap::new(),
            by_age: BTreeMap::new(),
            next: 0,
        }
    }

    /// The value of a key, if it is remembered.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
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
        if let Some((_, known)) = self.entries.get_mut(&key) {
            *known = value;
            return;
        }
        self.next += 1;
        self.by_age.insert(self.next, key.clone());
        self.entries.insert(key, (self.next, value));
        if self.entries.len() > self.capacity {
            if let Some((_, oldest)) = self.by_age.pop_first() {
                self.entries.remove(&oldest);
            }
        }
    }

    /// Forgets a key.
    pub fn remove(&mut self, key: &K) {
        if let Some((age, _)) = self.entries.remove(key) {
            self.by_age.remove(&age);
        }
    }
}
