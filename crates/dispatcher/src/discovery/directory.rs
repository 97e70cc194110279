//! The accepted endpoint list, and the rules for applying answers of the name service to it. No I/O; the only clock
//! is the [`WallClock`] that translates start times.

use super::departed_engines::DepartedEngines;
use super::engine_ids::EngineIds;
use super::engine_starts::EngineStarts;
use super::list_version::{AnswerVersion, ListVersion, Relation};
use super::records::{
    drop_superseded, entry_of, fingerprint, merge_duplicates, start_of, HostName,
};
use super::reject_reason::RejectReason;
use crate::clock::WallClock;
use crate::dns::Answer;
use crate::query_registry::EndpointEntry;
use rustc_hash::FxHashMap;
use tansymux::events::EndpointState;

/// Maximum number of endpoints in a list. Bounds memory; the operators' largest pool has 3,200 engines.
const MAX_ENGINES: usize = 4096;

/// The accepted endpoint list.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    engine_ids: EngineIds,
    /// The entries of the list as last reported, by engine number.
    engines: FxHashMap<u64, EndpointEntry>,
    version: ListVersion,
    departed: DepartedEngines,
    starts: EngineStarts,
}

/// The effect of an answer on the list.
#[derive(Debug, PartialEq)]
pub enum AnswerOutcome {
    /// The answer was accepted. Holds the complete new list, followed by the engines that are gone.
    Updated(Vec<EndpointEntry>),
    /// The answer changes nothing.
    Unchanged,
    /// The answer was not accepted.
    Rejected(RejectReason),
}

/// An accepted answer that is about to be applied.
struct Update {
    version: AnswerVersion,
    /// Whether the serial is not newer than that of the list, as in an answer of a name service that lags behind.
    may_be_stale: bool,
}

impl EndpointDirectory {
    /// Returns the number of an engine, derived from its id: see [`EngineIds::assign`].
    pub fn engine_id(&mut self, id: &str) -> u64 {
        self.engine_ids.assign(id)
    }

    /// Returns the serial of the list, the number of its latest change.
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

    /// Sets the wall clock, and translates the start times in the list from Unix time to the program's clock. Start
    /// times of later answers are translated on arrival.
    pub fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.starts.set_wall_clock(wall_clock);
        let starts = &mut self.starts;
        for (&engine_id, entry) in &mut self.engines {
            entry.started_ms = entry
                .started_ms
                .map(|unix_ms| starts.translate(engine_id, unix_ms));
        }
        // The list of the configuration counts as confirmed at startup.
        starts.on_list_confirmed();
    }

    /// Checks whether the wall clock was stepped.
    pub fn observe_wall_clock(&mut self) {
        self.starts.observe_wall_clock();
    }

    /// Returns all entries of the list, sorted by engine number.
    pub fn endpoints(&self) -> Vec<EndpointEntry> {
        let mut endpoints: Vec<EndpointEntry> = self.engines.values().cloned().collect();
        endpoints.sort_by_key(|engine| engine.engine_id);
        endpoints
    }

    /// Applies the answer to query number `query`. An answer with a plausibly newer serial is accepted immediately.
    /// An answer whose serial is implausibly far ahead or older, or whose records differ under the same serial, is
    /// accepted once the answer to a later query confirms it. A listed engine that is missing from an accepted answer
    /// is gone.
    pub fn apply_answer(&mut self, answer: &Answer, query: u64) -> AnswerOutcome {
        let update = match self.begin_update(answer, query) {
            Ok(Some(update)) => update,
            Ok(None) => return AnswerOutcome::Unchanged,
            Err(reason) => return AnswerOutcome::Rejected(reason),
        };
        let mut entries = self.entries_of(answer);
        if update.may_be_stale {
            self.keep_drains_and_departures(&mut entries);
        }
        AnswerOutcome::Updated(self.finish_update(&update, entries))
    }

    /// Decides whether an answer is accepted. Returns `None` if it changes nothing.
    fn begin_update(
        &mut self,
        answer: &Answer,
        query: u64,
    ) -> Result<Option<Update>, RejectReason> {
        let serial = answer.serial.ok_or(RejectReason::MissingSerial)?;
        if answer.srv.len() > MAX_ENGINES {
            return Err(RejectReason::TooManyEndpoints);
        }
        let version = AnswerVersion {
            serial,
            fingerprint: fingerprint(answer),
            query,
        };
        let endpoints = self.engines.len() + answer.srv.len();
        match self.version.relation(&version, endpoints) {
            Relation::Same => {
                self.starts.on_list_confirmed();
                self.version.on_repeated(&version);
                return Ok(None);
            }
            Relation::Newer => {}
            // An answer to an earlier query is outdated, not corrupt.
            Relation::Contradicting(_) if self.version.is_late(&version) => return Ok(None),
            Relation::Contradicting(reason) if !self.version.confirm(version) => {
                return Err(reason);
            }
            Relation::Contradicting(_) => {}
        }
        let may_be_stale = self.version.steps_to(&version) <= 0;
        Ok(Some(Update {
            version,
            may_be_stale,
        }))
    }

    /// Returns the endpoint list entries of an answer, without duplicates and superseded engines. SRV records whose
    /// target has no zone label are skipped.
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

    /// Applies known drains and departures to the entries of an answer that may be stale: an engine that was reported
    /// as draining or gone stays so unless it has restarted. If none of the answer's ready engines would stay ready,
    /// the entries are left unchanged.
    fn keep_drains_and_departures(&self, entries: &mut Vec<EndpointEntry>) {
        let is_ready = |entry: &EndpointEntry| entry.state == EndpointState::Ready;
        let is_draining_or_departed =
            |entry: &EndpointEntry| self.was_draining(entry) || self.departed.contains(entry);
        let mut ready = entries.iter().filter(|entry| is_ready(entry)).peekable();
        if ready.peek().is_some() && ready.all(is_draining_or_departed) {
            return;
        }
        entries.retain(|entry| !self.departed.contains(entry));
        for entry in entries.iter_mut() {
            if self.was_draining(entry) {
                entry.state = EndpointState::Draining;
            }
        }
    }

    /// Whether the process of `entry` was reported as draining.
    fn was_draining(&self, entry: &EndpointEntry) -> bool {
        let known = self.engines.get(&entry.engine_id);
        known.is_some_and(|known| {
            known.state == EndpointState::Draining && start_of(entry) <= start_of(known)
        })
    }

    /// Replaces the list by `entries`. Returns `entries`, followed by the engines that are gone.
    fn finish_update(
        &mut self,
        update: &Update,
        mut entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointEntry> {
        self.starts.on_list_confirmed();
        self.version.on_accepted(&update.version);
        let previous = std::mem::take(&mut self.engines);
        for entry in &entries {
            self.engines.insert(entry.engine_id, entry.clone());
        }
        let mut gone = self.missing_from_list(previous);
        self.record_departed(&gone);
        entries.append(&mut gone);
        entries
    }

    /// Returns the entries of the previous list that are no longer listed, marked as gone and sorted by engine
    /// number.
    fn missing_from_list(&self, previous: FxHashMap<u64, EndpointEntry>) -> Vec<EndpointEntry> {
        let mut gone = Vec::new();
        for mut entry in previous.into_values() {
            if !self.engines.contains_key(&entry.engine_id) {
                entry.state = EndpointState::Gone;
                gone.push(entry);
            }
        }
        gone.sort_by_key(|entry| entry.engine_id);
        gone
    }

    /// Records the engines that are gone, and frees the numbers of all engines that are not listed.
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
