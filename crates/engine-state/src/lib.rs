//! A replicated cache of observations about engines: a dispatcher learns from its peers which engines are draining,
//! slow or unresponsive.
//!
//! The cache is a state-based replicated data type (CRDT, Shapiro et al. 2011): for each engine, kind and origin the
//! observation with the highest sequence number wins, so that merging does not depend on order or repetition. It
//! differs from the paper in two ways: values lose weight with age, and the weight of an origin depends on how many
//! of its observations this dispatcher confirmed or refuted.
//!
//! Owns: observations with origin and age ([`Observation`]), their merge ([`EngineStateCache::merge`]), the weight of
//! an observation at a given time ([`EngineStateCache::view`]), the trust in its origin
//! ([`EngineStateCache::record_verification`]), and the encoding ([`codec`]). The crate does no I/O and reads no clock.
//! Clocks of different dispatchers are never compared: messages carry ages, which only grow.
//!
//! Invariants, checked in `tests/merge.rs`:
//! - merging is commutative, associative and idempotent;
//! - an observation that is forwarded does not become younger;
//! - draining and gone end only with a new incarnation of the engine, never by age;
//! - a recent observation that an engine is unresponsive outweighs an old one that it answered, and the reverse;
//! - this dispatcher's own observations outweigh received ones.
//!
//! Start reading at [`EngineStateCache::view`].

mod cache;
pub mod codec;
mod observation;
mod serial;
mod trust;

pub use cache::{EngineStateCache, EngineView, WeightedValue, MAX_ENGINES, MAX_ORIGINS};
pub use observation::{Observation, ObservationKind};
pub use trust::Verification;
