//! The cache of observations: merges them, and derives the state of an engine from their weighted means.

use crate::observation::{Observation, ObservationKind};
use crate::serial;
use crate::trust::{TrustTable, Verification};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Maximum number of engines in the cache; beyond it the least recently updated engine is evicted.
pub const MAX_ENGINES: usize = 2048;
/// Maximum number of origins per engine and kind; beyond it the origins with the lowest ids are dropped.
pub const MAX_ORIGINS: usize = 8;
/// Weight of this dispatcher's own observations, relative to received ones.
const OWN_WEIGHT: f64 = 8.0;
/// Sum of weights below which a kind counts as unknown.
const MIN_TOTAL_WEIGHT: f64 = 1e-6;
/// Weight above which a table group counts as locked.
const MIN_LOCK_WEIGHT: f64 = 0.5;

/// A value and its weight against the default that is used without observations: from 0 (use the default) to 1
/// (use the value).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedValue {
    /// The weighted mean of the observations.
    pub value: f64,
    /// The highest product of trust and age decay among the observations, from 0 to 1.
    pub weight: f64,
}

/// The state of an engine at a given time, derived from the observations in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineView {
    /// Whether the engine is draining or gone: no query may be sent to it.
    pub is_draining_or_gone: bool,
    /// Evidence of recent unresponsiveness or errors, from 0 to 1. The caller can eject a suspected engine until the
    /// engine has answered this dispatcher.
    pub suspicion: f64,
    /// Logarithm of the ratio of observed to best run time.
    pub slowdown: Option<WeightedValue>,
    /// Concurrency limit for the low lane (threads per core).
    pub concurrency_limit: Option<WeightedValue>,
    /// Time since the engine started (ms).
    pub uptime_ms: Option<f64>,
    /// The table group that a load has locked on the engine.
    pub locked_table_group: Option<u32>,
}

/// A stored observation, with its time on this dispatcher's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    value: f64,
    sequence: u32,
    observed_at_ms: f64,
}

#[derive(Debug, Clone, Default)]
struct EngineEntries {
    incarnation: u32,
    /// Latest observation of each kind and origin.
    entries: BTreeMap<(ObservationKind, u64), Entry>,
    /// Time of the latest observation (ms).
    updated_at_ms: f64,
}

impl EngineEntries {
    /// Origins and entries of a kind, in the order of the origin ids.
    fn of_kind(&self, kind: ObservationKind) -> impl Iterator<Item = (u64, &Entry)> {
        self.entries
            .range((kind, 0)..=(kind, u64::MAX))
            .map(|((_, origin_id), entry)| (*origin_id, entry))
    }

    fn is_reported(&self, kind: ObservationKind) -> bool {
        self.of_kind(kind).any(|(_, entry)| entry.value > 0.0)
    }

    /// Merges an entry of the same incarnation. The entry with the higher sequence number wins. Entries of equal
    /// sequence numbers are combined into the greater age and the greater value, so that the order of merges does not
    /// matter.
    fn merge(&mut self, kind: ObservationKind, origin_id: u64, candidate: Entry) {
        self.updated_at_ms = self.updated_at_ms.max(candidate.observed_at_ms);
        let entry = self.entries.entry((kind, origin_id)).or_insert(candidate);
        match serial::compare(candidate.sequence, entry.sequence) {
            Ordering::Greater => *entry = candidate,
            Ordering::Equal => {
                // The same observation over another path. The time in transit is not part of its age, so the greater
                // age is the more accurate.
                entry.observed_at_ms = entry.observed_at_ms.min(candidate.observed_at_ms);
                if candidate.value.total_cmp(&entry.value).is_gt() {
                    entry.value = candidate.value;
                }
            }
            Ordering::Less => {}
        }
        self.drop_excess_origins(kind);
    }

    /// Drops the origins with the lowest ids beyond [`MAX_ORIGINS`]. The choice does not depend on the order of merges.
    fn drop_excess_origins(&mut self, kind: ObservationKind) {
        let origins: Vec<u64> = self.of_kind(kind).map(|(origin_id, _)| origin_id).collect();
        let excess = origins.len().saturating_sub(MAX_ORIGINS);
        for origin_id in &origins[..excess] {
            self.entries.remove(&(kind, *origin_id));
        }
    }
}

/// The observations of all engines that a dispatcher has made or received.
#[derive(Debug, Clone)]
pub struct EngineStateCache {
    own_id: u64,
    last_sequence: u32,
    engines: BTreeMap<u64, EngineEntries>,
    trust: TrustTable,
}

impl EngineStateCache {
    /// Creates an empty cache. `own_id` must differ at each start of the dispatcher: observations of an earlier run
    /// then count as received ones.
    pub fn new(own_id: u64) -> Self {
        EngineStateCache {
            own_id,
            last_sequence: 0,
            engines: BTreeMap::new(),
            trust: TrustTable::default(),
        }
    }

    /// Number of engines in the cache.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether the cache holds no engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Records an observation made by this dispatcher.
    pub fn record(
        &mut self,
        engine_id: u64,
        incarnation: u32,
        kind: ObservationKind,
        value: f64,
        now_ms: f64,
    ) {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        let observation = Observation {
            engine_id,
            incarnation,
            kind,
            value,
            origin_id: self.own_id,
            sequence: self.last_sequence,
            age_ms: 0.0,
        };
        self.merge(&observation, now_ms);
    }

    /// Merges an observation of any origin. An observation of a later incarnation of the engine replaces those of
    /// earlier incarnations. Observations with a value that is not finite, or an age that is negative or not finite,
    /// are ignored.
    pub fn merge(&mut self, observation: &Observation, now_ms: f64) {
        let has_valid_age = observation.age_ms >= 0.0 && observation.age_ms.is_finite();
        if !observation.value.is_finite() || !has_valid_age {
            return;
        }
        if !self.engines.contains_key(&observation.engine_id) && self.engines.len() >= MAX_ENGINES {
            self.evict_least_recently_updated();
        }
        let engine = self
            .engines
            .entry(observation.engine_id)
            .or_insert_with(|| EngineEntries {
                incarnation: observation.incarnation,
                ..EngineEntries::default()
            });
        match serial::compare(observation.incarnation, engine.incarnation) {
            Ordering::Less => return,
            Ordering::Equal => {}
            Ordering::Greater => {
                engine.incarnation = observation.incarnation;
                engine.entries.clear();
            }
        }
        let candidate = Entry {
            value: observation.value,
            sequence: observation.sequence,
            observed_at_ms: now_ms - observation.age_ms,
        };
        engine.merge(observation.kind, observation.origin_id, candidate);
    }

    fn evict_least_recently_updated(&mut self) {
        let least_recent = self
            .engines
            .iter()
            .min_by(|left, right| left.1.updated_at_ms.total_cmp(&right.1.updated_at_ms))
            .map(|(engine_id, _)| *engine_id);
        if let Some(engine_id) = least_recent {
            self.engines.remove(&engine_id);
        }
    }

    /// Removes an engine and all its observations, once it is no longer in the endpoint list.
    pub fn remove(&mut self, engine_id: u64) {
        self.engines.remove(&engine_id);
    }

    /// Records the comparison of an origin's observation with this dispatcher's own.
    pub fn record_verification(&mut self, origin_id: u64, verification: Verification) {
        self.trust.record(origin_id, verification);
    }

    /// Returns the trust in an origin, from 0 to 1. It scales the weight of all observations of the origin.
    pub fn trust(&self, origin_id: u64) -> f64 {
        if origin_id == self.own_id {
            return 1.0;
        }
        self.trust.trust(origin_id)
    }

    /// Returns the mean of a kind's observations, weighted by age and trust; `None` without observations or for kinds
    /// whose weight does not decay.
    fn weighted_mean(
        &self,
        engine: &EngineEntries,
        kind: ObservationKind,
        now_ms: f64,
    ) -> Option<WeightedValue> {
        let half_life_ms = kind.half_life_ms()?;
        let mut weighted_sum = 0.0;
        let mut total_weight = 0.0;
        let mut max_confidence = 0.0_f64;
        for (origin_id, entry) in engine.of_kind(kind) {
            let age_ms = (now_ms - entry.observed_at_ms).max(0.0);
            let decay = (-age_ms / half_life_ms * std::f64::consts::LN_2).exp();
            let confidence = self.trust(origin_id) * decay;
            let origin_factor = if origin_id == self.own_id {
                OWN_WEIGHT
            } else {
                1.0
            };
            let weight = confidence * origin_factor;
            weighted_sum += weight * entry.value;
            total_weight += weight;
            max_confidence = max_confidence.max(confidence);
        }
        let has_weight = total_weight > MIN_TOTAL_WEIGHT;
        if !has_weight {
            return None;
        }
        Some(WeightedValue {
            value: weighted_sum / total_weight,
            weight: max_confidence,
        })
    }

    /// Returns the state of an engine at `now_ms`; the default for an unknown engine.
    pub fn view(&self, engine_id: u64, now_ms: f64) -> EngineView {
        let Some(engine) = self.engines.get(&engine_id) else {
            return EngineView::default();
        };
        let mean = |kind| self.weighted_mean(engine, kind, now_ms);
        let discounted_mean = |kind| mean(kind).map_or(0.0, |mean| mean.value * mean.weight);
        let unresponsive = discounted_mean(ObservationKind::Unresponsive);
        let error_rate = discounted_mean(ObservationKind::ErrorRate);
        let locked_table_group = mean(ObservationKind::LockedTableGroup)
            .filter(|mean| mean.weight > MIN_LOCK_WEIGHT)
            .map(|mean| mean.value as u32);
        EngineView {
            is_draining_or_gone: engine.is_reported(ObservationKind::Draining)
                || engine.is_reported(ObservationKind::Gone),
            suspicion: unresponsive.max(error_rate).clamp(0.0, 1.0),
            slowdown: mean(ObservationKind::Slowdown),
            concurrency_limit: mean(ObservationKind::ConcurrencyLimit),
            uptime_ms: shortest_uptime_ms(engine, now_ms),
            locked_table_group,
        }
    }

    /// Returns all observations with their ages at `now_ms`, to be sent to peers. They are sorted by kind, the most
    /// important first, and then by age, the youngest first.
    pub fn export(&self, now_ms: f64) -> Vec<Observation> {
        let mut observations = Vec::new();
        for (engine_id, engine) in &self.engines {
            for ((kind, origin_id), entry) in &engine.entries {
                observations.push(Observation {
                    engine_id: *engine_id,
                    incarnation: engine.incarnation,
                    kind: *kind,
                    value: entry.value,
                    origin_id: *origin_id,
                    sequence: entry.sequence,
                    age_ms: (now_ms - entry.observed_at_ms).max(0.0),
                });
            }
        }
        observations.sort_by(|left, right| {
            left.kind
                .cmp(&right.kind)
                .then(left.age_ms.total_cmp(&right.age_ms))
                .then(left.engine_id.cmp(&right.engine_id))
        });
        observations
    }
}

/// Returns the shortest uptime that any origin reports (ms): an engine that is warming up must not look warm because an
/// observation of its latest start was lost.
fn shortest_uptime_ms(engine: &EngineEntries, now_ms: f64) -> Option<f64> {
    engine
        .of_kind(ObservationKind::Uptime)
        .map(|(_, entry)| entry.value + (now_ms - entry.observed_at_ms).max(0.0))
        .reduce(f64::min)
}
