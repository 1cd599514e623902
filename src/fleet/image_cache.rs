//! A model of a machine's image cache, which evicts the least recently used images.

use std::collections::VecDeque;
use std::rc::Rc;

/// An image in the cache.
#[derive(Debug)]
struct CachedImage {
    image: Rc<str>,
    size_gb: f64,
}

/// The images that a machine has, as far as the leader can tell.
#[derive(Debug)]
pub(super) struct ImageCache {
    capacity_gb: f64,
    /// Most recently used last.
    images: VecDeque<CachedImage>,
}

impl ImageCache {
    /// An empty cache.
    pub(super) fn new(capacity_gb: f64) -> Self {
        ImageCache {
            capacity_gb,
            images: VecDeque::new(),
        }
    }

    /// The capacity has become known.
    pub(super) fn resize(&mut self, capacity_gb: f64) {
        self.capacity_gb = capacity_gb;
    }

    /// The images in the cache.
    pub(super) fn images(&self) -> impl Iterator<Item = &Rc<str>> {
        self.images.iter().map(|cached| &cached.image)
    }

    /// Whether the image is in the cache.
    pub(super) fn contains(&self, image: &str) -> bool {
        self.images.iter().any(|cached| &*cached.image == image)
    }

    /// A task uses the image: it is the most recently used one now, and others
    /// are evicted to make room for it.
    pub(super) fn mark_used(&mut self, image: &Rc<str>, size_gb: f64) {
        let most_recent = self.images.back();
        if most_recent.is_some_and(|cached| cached.image == *image) {
            return;
        }
        self.images.retain(|cached| cached.image != *image);
        self.images.push_back(CachedImage {
            image: image.clone(),
            size_gb,
        });
        let mut total_gb: f64 = self.images.iter().map(|cached| cached.size_gb).sum();
        while total_gb > self.capacity_gb && self.images.len() > 1 {
            if let Some(evicted) = self.images.pop_front() {
                total_gb -= evicted.size_gb;
            }
        }
    }
}
