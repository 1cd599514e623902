//! A model of a machine's image cache, which evicts the least recently used images.

use std::collections::VecDeque;
use std::rc::Rc;

#[derive(Debug)]
struct CachedImage {
    image: Rc<str>,
    size_gb: f64,
}

/// The leader's estimate of the images in a machine's cache.
#[derive(Debug)]
pub(super) struct ImageCache {
    capacity_gb: f64,
    /// Ordered by last use, the most recently used image last.
    images: VecDeque<CachedImage>,
}

impl ImageCache {
    /// Creates an empty cache.
    pub(super) fn new(capacity_gb: f64) -> Self {
        ImageCache {
            capacity_gb,
            images: VecDeque::new(),
        }
    }

    /// Sets the capacity once it is known. Evicts nothing until the next use.
    pub(super) fn resize(&mut self, capacity_gb: f64) {
        self.capacity_gb = capacity_gb;
    }

    /// Returns the images in the cache, the least recently used first.
    pub(super) fn images(&self) -> impl Iterator<Item = &Rc<str>> {
        self.images.iter().map(|cached| &cached.image)
    }

    /// Returns whether the image is in the cache.
    pub(super) fn contains(&self, image: &str) -> bool {
        self.images.iter().any(|cached| &*cached.image == image)
    }

    /// Marks the image as the most recently used one because a task uses it, and evicts the
    /// least recently used images until the rest fits. The image itself is kept even if it
    /// alone exceeds the capacity.
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
