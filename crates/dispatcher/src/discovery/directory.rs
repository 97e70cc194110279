//! The accepted endpoint list, and the rules by which an answer of the name service changes it. No I/O, no clock.

use super::departed_engines::DepartedEngines;
use super::engine_ids::EngineIds;
use super::engine_starts::EngineStarts;
use super::list_version::{AnswerSource, ListVersion, Relation};
use super::records::{
    drop_superseded, entry_of, fingerprint, merge_duplicates, start_of, HostName,
};
use super::reject_reason::RejectReason;
use crate::clock::WallClock;
use crate::dns::Answer;
use crate::query_registry::EndpointEntry;
use rustc_hash::FxHashMap;
use tansymux::events::EndpointState;

/// Maximum number of endpoints in a list: a bound on memory, above the largest pool of the operators (3,200).
const MAX_ENGINES: usize = 4096;

/// The accepted endpoint list.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    engine_ids: EngineIds,
    /// The list as last reported.
    engines: FxHashMap<u64, EndpointEntry>,
    version: ListVersion,
    departed: DepartedEngines,
    starts: EngineStarts,
}

/// The effect of an answer on the list.
#[derive(Debug, PartialEq)]
pub enum AnswerOutcome {
    /// It was accepted: the complete list, followed by the engines that are gone.
    Updated(Vec<EndpointEntry>),
    /// It brings nothing new.
    Unchanged,
    /// It was not accepted.
    Rejected(RejectReason),
}

/// An accepted update that has begun.
struct Update {
    source: AnswerSource,
    /// Whether its serial is not above that of the list, so it may come from a name service that lags behind.
    is_not_newer: bool,
}

impl EndpointDirectory {
    /// The number of an engine, derived from its id alone: see [`EngineIds::assign`].
    pub fn engine_id(&mut self, id: &str) -> u64 {
        self.engine_ids.assign(id)
    }

    /// The serial of the list: the number of its latest change.
    #[cfg(test)]
    pub fn serial(&self) -> u32 {
        self.version.serial
    }

    /// Sets the serial of the configuration's list.
    pub fn set_serial(&mut self, serial: u32) {
        self.version.serial = serial;
    }

    /// Adds or replaces an engine of the configuration's list.
    pub fn upsert_endpoint(&mut self, engine: EndpointEntry) {
        self.engines.insert(engine.engine_id, engine);
    }

    /// Translates the list's start times, which are Unix times, to the program's clock, and all later ones.
    pub fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.starts.set_wall_clock(wall_clock);
        let starts = &mut self.starts;
        for (&engine_id, entry) in &mut self.engines {
            entry.started_ms = entry
                .started_ms
                .map(|unix_ms| starts.translate(engine_id, unix_ms));
        }
        // The list at the start is as of now.
        starts.on_list();
    }

    /// Checks whether the wall clock was stepped.
    pub fn observe_wall_clock(&mut self) {
        self.starts.observe_wall_clock();
    }

    /// All engines of the list, in the order of their numbers.
    pub fn endpoints(&self) -> Vec<EndpointEntry> {
        let mut endpoints: Vec<EndpointEntry> = self.engines.values().cloned().collect();
        endpoints.sort_by_key(|engine| engine.engine_id);
        endpoints
    }

    /// Applies the answer to query number `query`. An answer with a plausibly newer serial is accepted
    /// immediately. If its serial is implausibly far ahead or older, or its records differ under the same serial, it is
    /// accepted once the answer to a later query confirms it. An engine without records is gone.
    pub fn apply_answer(&mut self, answer: &Answer, query: u64) -> AnswerOutcome {
        let update = match self.begin_update(answer, query) {
            Ok(Some(update)) => update,
            Ok(None) => return AnswerOutcome::Unchanged,
            Err(reason) => return AnswerOutcome::Rejected(reason),
        };
        let mut entries = self.entries_of(answer);
        if update.is_not_newer {
            self.keep_known_ends(&mut entries);
        }
        AnswerOutcome::Updated(self.finish_update(&update, entries))
    }

    /// Decides whether an answer is accepted; `None` if it brings nothing new.
    fn begin_update(
        &mut self,
        answer: &Answer,
        query: u64,
    ) -> Result<Option<Update>, RejectReason> {
        let serial = answer.serial.ok_or(RejectReason::MissingSerial)?;
        if answer.srv.len() > MAX_ENGINES {
            return Err(RejectReason::TooManyEndpoints);
        }
        let source = AnswerSource {
            serial,
            fingerprint: fingerprint(answer),
            query,
        };
        let endpoints = self.engines.len() + answer.srv.len();
        match self.version.relation(&source, endpoints) {
            Relation::Same => {
                self.starts.on_list();
                self.version.on_repeated(&source);
                return Ok(None);
            }
            Relation::Newer => {}
            // An answer that arrived late is outdated, not suspicious.
            Relation::Contradicting(_) if self.version.is_late(&source) => return Ok(None),
            Relation::Contradicting(reason) if !self.version.confirm(source) => {
                return Err(reason);
            }
            Relation::Contradicting(_) => {}
        }
        let is_not_newer = self.version.steps_to(&source) <= 0;
        Ok(Some(Update {
            source,
            is_not_newer,
        }))
    }

    fn entries_of(&mut self, answer: &Answer) -> Vec<EndpointEntry> {
        let mut entries = Vec::new();
        for srv in &answer.srv {
            let Some(host) = HostName::parse(&srv.target) else {
                continue;
            };
            let engine_id = self.engine_id(host.id);
            let known = self.engines.get(&engine_id);
            let mut entry = entry_of(answer, srv, engine_id, host.zone, known);
            let starts = &mut self.starts;
            entry.started_ms = entry
                .started_ms
                .map(|unix_ms| starts.translate(engine_id, unix_ms));
            entries.push(entry);
        }
        let mut entries = merge_duplicates(entries);
        drop_superseded(&mut entries);
        entries
    }

    /// Keeps engines draining or gone that were reported so, unless they have restarted since: an older list may come
    /// from a name service that lags behind. If that would leave no engine ready, the list is accepted unchanged.
    fn keep_known_ends(&self, entries: &mut Vec<EndpointEntry>) {
        let is_ready = |entry: &EndpointEntry| entry.state == EndpointState::Ready;
        let has_ended =
            |entry: &EndpointEntry| self.was_draining(entry) || self.departed.contains(entry);
        let mut ready = entries.iter().filter(|entry| is_ready(entry)).peekable();
        if ready.peek().is_some() && ready.all(has_ended) {
            return;
        }
        entries.retain(|entry| !self.departed.contains(entry));
        for entry in entries.iter_mut() {
            if self.was_draining(entry) {
                entry.state = EndpointState::Draining;
            }
        }
    }

    /// Whether this process was reported as draining.
    fn was_draining(&self, entry: &EndpointEntry) -> bool {
        let known = self.engines.get(&entry.engine_id);
        known.is_some_and(|known| {
            known.state == EndpointState::Draining && start_of(entry) <= start_of(known)
        })
    }

    /// Replaces the list by `entries`. Returns them, followed by the engines that are gone.
    fn finish_update(
        &mut self,
        update: &Update,
        mut entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointEntry> {
        self.starts.on_list();
        self.version.on_accepted(&update.source);
        let before = std::mem::take(&mut self.engines);
        for entry in &entries {
            self.engines.insert(entry.engine_id, entry.clone());
        }
        let mut gone = self.missing_from_list(before);
        self.record_departed(&gone);
        entries.append(&mut gone);
        entries
    }

    /// The engines of the list before that are no longer listed, in the order of their numbers.
    fn missing_from_list(&self, before: FxHashMap<u64, EndpointEntry>) -> Vec<EndpointEntry> {
        let mut gone = Vec::new();
        for mut entry in before.into_values() {
            if !self.engines.contains_key(&entry.engine_id) {
                entry.state = EndpointState::Gone;
                gone.push(entry);
            }
        }
        gone.sort_by_key(|entry| entry.engine_id);
        gone
    }

    /// Remembers the engines that are gone, and frees the numbers of those that are not listed.
    fn record_departed(&mut self, gone: &[EndpointEntry]) {
        let engines = &self.engines;
        let is_listed = |engine_id: u64| engines.contains_key(&engine_id);
        self.departed.retain(|engine_id| !is_listed(engine_id));
        self.departed.add(gone, MAX_ENGINES);
        let departed = &self.departed;
        self.starts
            .retain(|engine_id| is_listed(engine_id) || departed.contains_engine(engine_id));
        self.engine_ids.retain(is_listed);
    }
}

#[cfg(test)]
mod tests;
