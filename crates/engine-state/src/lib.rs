//! State of engines that a dispatcher inherits from others, with origin and age.
//!
//! The cache is a state-based replicated data type (CRDT, Shapiro et al. 2011): for each engine, kind and origin the
//! observation with the highest sequence number wins, so that merging does not depend on order and repetition. It differs
//! from the paper in that values lose weight with age, and that origins are weighted by the verification of their
//! observations.
//!
//! Owns: observations with origin and age ([`Observation`]), their merge ([`EngineStateCache::merge`]), the weight of
//! an observation at a given time ([`EngineStateCache::view`]), the trust in its origin
//! ([`EngineStateCache::record_verification`]), and the encoding ([`codec`]). It does no I/O and reads no clock. Clocks
//! of different dispatchers are never compared: ages are transmitted, and only grow.
//!
//! Invariants, checked in `tests/merge.rs`:
//! - merging is commutative, associative and idempotent;
//! - an observation that is forwarded does not become younger;
//! - draining and gone end with a new incarnation of the engine only, never by age;
//! - fresh unresponsiveness outweighs stale health;
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
