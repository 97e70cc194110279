//! The table of known engines, with lookup by engine id.

use crate::model::{Engine, EngineIndex};
use rustc_hash::FxHashMap;
use std::ops::{Index, IndexMut};

/// All engines that this dispatcher knows, each in a slot.
///
/// The slot of a removed engine is reused, so that the table does not grow when engines are replaced often.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    engines: Vec<Engine>,
    /// Slots by engine id.
    slots: FxHashMap<u64, EngineIndex>,
}

impl EngineTable {
    /// The slot of the engine with this id.
    pub(crate) fn find(&self, engine_id: u64) -> Option<EngineIndex> {
        self.slots.get(&engine_id).copied()
    }

    /// All slots.
    pub(crate) fn indices(&self) -> impl Iterator<Item = EngineIndex> {
        (0..self.engines.len()).map(EngineIndex)
    }

    /// All engines.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Engine> {
        self.engines.iter()
    }

    /// All engines, mutably.
    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Engine> {
        self.engines.iter_mut()
    }

    /// The engines that are ready according to the endpoint list.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Engine> {
        self.iter().filter(|engine| engine.endpoint.ready)
    }

    /// The slots of the ready engines.
    pub(crate) fn ready_indices(&self) -> impl Iterator<Item = EngineIndex> + '_ {
        self.indices().filter(|&engine| self[engine].endpoint.ready)
    }

    /// Whether this dispatcher has low-lane attempts in flight on any engine.
    pub(crate) fn has_low_attempts(&self) -> bool {
        self.iter().any(|engine| engine.load.low_attempts() > 0)
    }

    /// The first slot whose engine is neither listed, nor ready, nor in use according to `in_use`.
    pub(crate) fn find_unused(&self, in_use: impl Fn(EngineIndex) -> bool) -> Option<EngineIndex> {
        self.indices().find(|&engine| {
            let endpoint = &self[engine].endpoint;
            !endpoint.listed && !endpoint.ready && !in_use(engine)
        })
    }

    /// Adds an engine in a new slot.
    pub(crate) fn push(&mut self, engine: Engine) -> EngineIndex {
        let slot = EngineIndex(self.engines.len());
        self.slots.insert(engine.engine_id, slot);
        self.engines.push(engine);
        slot
    }

    /// Replaces the engine in a slot.
    pub(crate) fn replace(&mut self, slot: EngineIndex, engine: Engine) {
        let previous_id = self[slot].engine_id;
        self.slots.remove(&previous_id);
        self.slots.insert(engine.engine_id, slot);
        self[slot] = engine;
    }

    /// Begins a complete endpoint list: marks all engines as unlisted until their entries arrive.
    pub(crate) fn begin_snapshot(&mut self) {
        for engine in &mut self.engines {
            engine.endpoint.listed = false;
        }
    }

    /// Finishes an endpoint list: marks engines that are not listed as not ready.
    pub(crate) fn finish_update(&mut self) {
        for engine in &mut self.engines {
            engine.endpoint.ready &= engine.endpoint.listed;
        }
    }

    /// The number of slots.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.engines.len()
    }
}

impl Index<EngineIndex> for EngineTable {
    type Output = Engine;

    fn index(&self, index: EngineIndex) -> &Engine {
        &self.engines[index.0]
    }
}

impl IndexMut<EngineIndex> for EngineTable {
    fn index_mut(&mut self, index: EngineIndex) -> &mut Engine {
        &mut self.engines[index.0]
    }
}
