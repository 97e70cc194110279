//! What is known of engines, by whom, and how old it is.
//!
//! Owns: facts with their origin and age ([`Fact`]), merging that is free of order and repetition ([`EngineStateCache::merge`]),
//! how far a fact is believed at a moment ([`EngineStateCache::view`]), how far its origin is ([`EngineStateCache::proven`]), and the bytes
//! in which facts are handed on ([`wire`]). It does no I/O and reads no clock; times of day are never compared: ages
//! are carried, and only grow.
//!
//! Invariants, checked in `tests/`:
//! - merging is commutative, associative and idempotent;
//! - a fact that is told round grows no younger by it;
//! - draining and gone are forgotten by a new start of the engine only, never by age;
//! - fresh silence outweighs stale health;
//! - what this instance saw itself outweighs what it was told.
//!
//! Start reading at [`EngineStateCache::view`].

mod facts;
pub mod wire;

pub use facts::{EngineStateCache, Entry, Fact, Kind, View, MAX_ENGINES, MAX_ORIGINS};
