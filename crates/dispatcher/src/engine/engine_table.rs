//! The engines of the endpoint list, with their connections.

use super::channel::Channel;
use super::engine_entry::{Engine, ProcessChange};
use crate::guard::EndpointFacts;
use crate::query_registry::EndpointEntry;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;

/// The result of an endpoint list update for one engine.
pub(super) struct EngineUpdate {
    pub process_change: ProcessChange,
    /// The connections that the engine had before the update.
    pub channels: Vec<Rc<Channel>>,
}

/// The engines, by their numbers.
#[derive(Default)]
pub(super) struct EngineTable {
    engines: RefCell<FxHashMap<u64, Engine>>,
}

impl EngineTable {
    /// Applies an entry of the endpoint list. An engine that is gone stays in the table until its last connection
    /// closes.
    pub fn upsert(&self, entry: &EndpointEntry) -> EngineUpdate {
        let mut engines = self.engines.borrow_mut();
        let engine = engines
            .entry(entry.engine_id)
            .or_insert_with(|| Engine::new(entry));
        let process_change = engine.update(entry);
        let channels = engine.channels().to_vec();
        if engine.is_removable() {
            engines.remove(&entry.engine_id);
        }
        EngineUpdate {
            process_change,
            channels,
        }
    }

    /// Removes a closed connection. Also removes its engine if that is gone and has no other connection.
    pub fn remove_channel(&self, channel: &Rc<Channel>) {
        let mut engines = self.engines.borrow_mut();
        if let Some(engine) = engines.get_mut(&channel.engine_id) {
            engine.remove_channel(channel);
            if engine.is_removable() {
                engines.remove(&channel.engine_id);
            }
        }
    }

    /// Calls `read` with an engine and returns the result; `None` if the engine is unknown.
    pub fn with<T>(&self, engine_id: u64, read: impl FnOnce(&Engine) -> T) -> Option<T> {
        self.engines.borrow().get(&engine_id).map(read)
    }

    /// Calls `change` with an engine and returns the result; `None` if the engine is unknown.
    pub fn with_mut<T>(&self, engine_id: u64, change: impl FnOnce(&mut Engine) -> T) -> Option<T> {
        self.engines.borrow_mut().get_mut(&engine_id).map(change)
    }

    /// Calls `visit` with each engine, in no particular order.
    pub fn for_each(&self, visit: impl FnMut(&Engine)) {
        self.engines.borrow().values().for_each(visit);
    }

    /// Calls `read` with the endpoint list's entry for the engine of a connection, or with `None` if the engine is
    /// unknown.
    pub fn with_facts<T>(
        &self,
        channel: &Channel,
        read: impl FnOnce(Option<EndpointFacts>) -> T,
    ) -> T {
        let engines = self.engines.borrow();
        let engine = engines.get(&channel.engine_id);
        read(engine.map(|engine| engine.facts(channel)))
    }

    /// Whether, according to the endpoint list, the engine's process was replaced after a connection was opened to it.
    pub fn is_replaced(&self, channel: &Channel) -> bool {
        self.with_facts(channel, |facts| {
            facts.is_some_and(|facts| !facts.is_same_process)
        })
    }

    /// The connection to an engine that carries an attempt of the query with this number and id.
    pub fn locate(&self, engine_id: u64, id: &str, query_id: u64) -> Option<Rc<Channel>> {
        let engines = self.engines.borrow();
        let carries = |channel: &&Rc<Channel>| {
            let connection = channel.connection.borrow();
            let attempt = connection.attempt(id);
            attempt.is_some_and(|attempt| attempt.query_id == query_id)
        };
        let engine = engines.get(&engine_id)?;
        engine.channels().iter().find(carries).cloned()
    }

    /// The least recently used idle connection of all engines.
    pub fn least_recently_used_idle(&self) -> Option<Rc<Channel>> {
        let engines = self.engines.borrow();
        let channels = engines.values().flat_map(Engine::channels);
        let idle_channels = channels.filter(|channel| channel.is_idle());
        let least_recent = idle_channels.min_by(|first, second| {
            let by_time = first.idle_since_ms().total_cmp(&second.idle_since_ms());
            by_time.then(first.engine_id.cmp(&second.engine_id))
        });
        least_recent.cloned()
    }
}
