//! Assigns numbers to engines. A number is a hash of the engine's id, so that all dispatchers assign the same one. Only
//! if two hashes collide does a number also depend on the order of assignment.

use rustc_hash::{FxHashMap, FxHashSet};

/// Largest engine number: 32 bits.
const MAX_ENGINE_ID: u64 = 0xffff_ffff;

/// The engine numbers, by engine id.
#[derive(Debug, Default)]
pub struct EngineIds {
    engine_ids: FxHashMap<String, u64>,
    /// The engine numbers in `engine_ids`, for a fast check whether a number is free.
    assigned: FxHashSet<u64>,
}

impl EngineIds {
    /// Returns the number of an engine: a hash of its id, or the next free number if the hash is already assigned.
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

    /// Frees the numbers of all engines for which `is_kept` is false. An engine that returns is assigned a number
    /// from its id again.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.engine_ids.retain(|_, engine_id| is_kept(*engine_id));
        self.assigned.retain(|engine_id| is_kept(*engine_id));
    }

    /// Returns how many ids and how many engine numbers are in use.
    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.engine_ids.len(), self.assigned.len())
    }

    /// Marks a number as assigned, without an id.
    #[cfg(test)]
    pub fn reserve(&mut self, engine_id: u64) {
        self.assigned.insert(engine_id);
    }
}
