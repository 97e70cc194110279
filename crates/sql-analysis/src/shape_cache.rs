//! A cache of analyses by shape, bounded in entries and bytes. Its admission policy (a frequency sketch in front of an
//! LRU list, TinyLFU) keeps shapes that occur once from evicting frequent ones. An entry is found by the shape's hash
//! and verified by its text, so that two shapes with the same hash do not share an analysis.

use crate::lexer::{Shape, Unproven};
use crate::Analysis;
use mini_moka::unsync::Cache;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Bytes of an entry without its texts: an estimate of the cache's overhead, rounded up.
const ENTRY_BYTES: usize = 320;
/// Bytes of a table name or reason without its text.
const NAME_BYTES: usize = 32;
/// Number of entries for which a new cache reserves memory.
const INITIAL_CAPACITY: usize = 64;
/// A shape longer than the cache's size divided by this is not cached.
const MAX_SHAPE_DIVISOR: usize = 16;

#[derive(Clone)]
struct Entry {
    text: Box<str>,
    unproven: Option<Unproven>,
    analysis: Rc<Analysis>,
}

impl Entry {
    /// Size of the entry in the cache (bytes).
    fn bytes(&self) -> usize {
        let names = self
            .analysis
            .tables_read
            .iter()
            .chain(&self.analysis.tables_written)
            .chain(&self.analysis.reason);
        let name_bytes: usize = names.map(|name| name.len() + NAME_BYTES).sum();
        ENTRY_BYTES + self.text.len() + name_bytes
    }
}

/// Cache hits and misses, and the sizes of the cache and of the cost model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CacheCounts {
    /// Number of statements whose shape was cached.
    pub hits: u64,
    /// Number of statements whose shape was not cached.
    pub misses: u64,
    /// Number of misses because a different shape with the same hash was cached.
    pub collisions: u64,
    /// Number of shapes in the cache.
    pub shapes: usize,
    /// Size of the cache (bytes).
    pub bytes: u64,
    /// Number of shapes with a learned cost.
    pub learned_costs: usize,
}

/// The cache of analyses by shape.
pub(crate) struct ShapeCache {
    entries: Cache<u128, Entry>,
    max_bytes: usize,
    counts: CacheCounts,
}

/// An empty cache. Each entry counts at least `max_bytes / max_shapes` bytes, so that the limit on bytes also limits
/// the number of entries.
fn empty_cache(max_shapes: usize, max_bytes: usize) -> Cache<u128, Entry> {
    let min_weight = u32::try_from(max_bytes / max_shapes.max(1)).unwrap_or(u32::MAX);
    Cache::builder()
        .max_capacity(max_bytes as u64)
        .initial_capacity(max_shapes.min(INITIAL_CAPACITY))
        .weigher(move |_, entry: &Entry| {
            let weight = u32::try_from(entry.bytes()).unwrap_or(u32::MAX);
            weight.max(min_weight)
        })
        .build()
}

impl ShapeCache {
    /// An empty cache of at most `max_shapes` entries and `max_bytes` bytes.
    pub fn new(max_shapes: usize, max_bytes: usize) -> Self {
        ShapeCache {
            entries: empty_cache(max_shapes, max_bytes),
            max_bytes,
            counts: CacheCounts::default(),
        }
    }

    /// Drops all analyses and sets the bounds; the counts of hits, misses and collisions are kept.
    pub fn reset(&mut self, max_shapes: usize, max_bytes: usize) {
        self.entries = empty_cache(max_shapes, max_bytes);
        self.max_bytes = max_bytes;
    }

    /// The analysis of a shape, if it is cached.
    pub fn get(&mut self, shape_id: u128, shape: &Shape) -> Option<Rc<Analysis>> {
        let Some(entry) = self.entries.get(&shape_id) else {
            self.counts.misses += 1;
            return None;
        };
        let is_same_shape = *entry.text == *shape.text && entry.unproven == shape.unproven;
        if !is_same_shape {
            self.counts.collisions += 1;
            self.counts.misses += 1;
            return None;
        }
        self.counts.hits += 1;
        Some(entry.analysis.clone())
    }

    /// Caches an analysis, unless the shape is too long or a shape with the same hash is cached.
    pub fn insert(&mut self, shape_id: u128, shape: &Shape, analysis: &Rc<Analysis>) {
        let is_too_long = shape.text.len() > self.max_bytes / MAX_SHAPE_DIVISOR;
        if is_too_long || self.entries.contains_key(&shape_id) {
            return;
        }
        let entry = Entry {
            text: shape.text.into(),
            unproven: shape.unproven,
            analysis: analysis.clone(),
        };
        self.entries.insert(shape_id, entry);
    }

    /// Hits, misses and sizes; `learned_costs` is 0.
    pub fn counts(&self) -> CacheCounts {
        CacheCounts {
            shapes: self.entries.entry_count() as usize,
            bytes: self.entries.weighted_size(),
            ..self.counts
        }
    }
}
