//! Assigns numbers to engines, derived from their ids alone: all dispatchers assign the same number to an engine.

use rustc_hash::{FxHashMap, FxHashSet};

/// Largest engine number: 32 bits.
const MAX_ENGINE_ID: u64 = 0xffff_ffff;

/// The numbers of the engines, by their ids.
#[derive(Debug, Default)]
pub struct EngineIds {
    engine_ids: FxHashMap<String, u64>,
    /// The numbers in `engine_ids`.
    assigned: FxHashSet<u64>,
}

impl EngineIds {
    /// The number of an engine: a hash of its id, or the next free number if that is taken.
    pub fn assign(&mut self, id: &str) -> u64 {
        if let Some(&engine_id) = self.engine_ids.get(id) {
            return engine_id;
        }
        let mut engine_id = u64::from(tansymux_operator_config::name_hash(id));
        while !self.assigned.insert(engine_id) {
            engine_id = (engine_id + 1) & MAX_ENGINE_ID;
        }
        self.engine_ids.insert(id.to_owned(), engine_id);
        engine_id
    }

    /// Frees the numbers of all engines for which `is_kept` is false. An engine that returns gets the same number by its
    /// id.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.engine_ids.retain(|_, engine_id| is_kept(*engine_id));
        self.assigned.retain(|engine_id| is_kept(*engine_id));
    }

    /// How many ids and how many numbers are in use.
    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.engine_ids.len(), self.assigned.len())
    }

    /// Marks a number as taken, without an id.
    #[cfg(test)]
    pub fn reserve(&mut self, engine_id: u64) {
        self.assigned.insert(engine_id);
    }
}
