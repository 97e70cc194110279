//! The endpoint list as it is believed, and what an answer of the name service changes in it. No I/O, no clock.

use super::records::{
    drop_superseded, entry_of, fingerprint, merge_duplicates, start_of, HostName,
};
use super::reject_reason::RejectReason;
use crate::dns::Answer;
use crate::query_registry::EndpointEntry;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use tansymux::events::EndpointState;

/// Engines of a list at most: a bound on memory, far above any pool.
const MAX_ENGINES: usize = 1024;
/// Events (steps of the serial) that one engine causes at most between two answers without arousing suspicion: it
/// drains, it goes, one comes in its place, and that again.
const MAX_EVENTS_PER_ENGINE: usize = 6;

/// The endpoint list. Every dispatcher gives an engine the same number, derived from its id alone.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    engine_ids: FxHashMap<String, u64>,
    /// The numbers in `engine_ids`.
    assigned: FxHashSet<u64>,
    /// The list as last reported.
    engines: FxHashMap<u64, EndpointEntry>,
    /// The serial of the list: the number of the last event that is known.
    pub serial: u32,
    /// The fingerprint of the answer that the list was made from; `None` where it was made from the configuration.
    fingerprint: Option<u64>,
    /// The number of the query whose answer the list was made from.
    query: u64,
    /// An answer that contradicts the list and waits for a second one that agrees with it.
    unconfirmed: Option<AnswerSource>,
    /// Engines that were reported as gone, with their starts, the latest last: an older list does not bring them back.
    gone: VecDeque<(u64, Option<f64>)>,
}

/// What identifies an answer.
#[derive(Debug, Clone, Copy)]
struct AnswerSource {
    serial: u32,
    fingerprint: u64,
    query: u64,
}

impl AnswerSource {
    /// Whether a later answer says the same, or the same and what came after it.
    fn is_confirmed_by(&self, later: &AnswerSource) -> bool {
        let steps = later.serial.wrapping_sub(self.serial) as i32;
        let is_same = steps == 0 && later.fingerprint == self.fingerprint;
        later.query > self.query && (is_same || steps > 0)
    }
}

/// What became of an answer.
#[derive(Debug, PartialEq)]
pub enum AnswerOutcome {
    /// It was believed and brought news: the whole list, with those that are gone.
    Updated(Vec<EndpointEntry>),
    /// It says what is known, or less.
    Unchanged,
    /// It was not believed.
    Rejected(RejectReason),
}

/// How an answer relates to the list.
enum Relation {
    /// It goes some events further.
    Newer,
    /// It says the same.
    Same,
    /// It contradicts the list: it may be corrupt, or the list was made from one that was.
    Contradicting(RejectReason),
}

/// An update that has begun: the answer is believed.
struct Update {
    source: AnswerSource,
    /// Its serial is not above that of the list.
    is_not_newer: bool,
}

impl EndpointDirectory {
    /// The number of an engine: a hash of its id, or the next free number where two ids have the same.
    pub fn engine_id(&mut self, id: &str) -> u64 {
        if let Some(&engine_id) = self.engine_ids.get(id) {
            return engine_id;
        }
        let mut engine_id = u64::from(tansymux_operator_config::number_of(id));
        while !self.assigned.insert(engine_id) {
            engine_id = (engine_id + 1) & 0xffff_ffff;
        }
        self.engine_ids.insert(id.to_owned(), engine_id);
        engine_id
    }

    /// Adds an engine that the configuration lists, or replaces what is known of it.
    pub fn insert(&mut self, engine: EndpointEntry) {
        self.engines.insert(engine.engine_id, engine);
    }

    /// All engines of the list, in the order of their numbers.
    pub fn endpoints(&self) -> Vec<EndpointEntry> {
        let mut endpoints: Vec<EndpointEntry> = self.engines.values().cloned().collect();
        endpoints.sort_by_key(|engine| engine.engine_id);
        endpoints
    }

    /// Applies the answer to query number `query`. One that goes a few events further is believed at once. One that
    /// leaps, goes back or says something else under the same serial may be corrupt, or the list is: it is believed
    /// once the answer to a later query agrees with it. An engine that has no records any more is gone.
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

    /// Decides whether an answer is believed; `None` where it brings nothing new.
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
        match self.relation(&source, answer.srv.len()) {
            Relation::Same => {
                self.unconfirmed = None;
                self.query = self.query.max(query);
                self.fingerprint = Some(source.fingerprint);
                return Ok(None);
            }
            Relation::Newer => {}
            // An older answer that came late: nothing suspicious.
            Relation::Contradicting(_) if query <= self.query => return Ok(None),
            Relation::Contradicting(reason) => self.confirm(source).ok_or(reason)?,
        }
        let is_not_newer = serial.wrapping_sub(self.serial) as i32 <= 0;
        Ok(Some(Update {
            source,
            is_not_newer,
        }))
    }

    /// `Some` if the answer before agrees with this contradicting one; else this one waits to be confirmed.
    fn confirm(&mut self, source: AnswerSource) -> Option<()> {
        match self.unconfirmed {
            Some(first) if first.is_confirmed_by(&source) => Some(()),
            // A copy of an answer, or an older one, doesn't take its place.
            Some(first) if source.query <= first.query => None,
            _ => {
                self.unconfirmed = Some(source);
                None
            }
        }
    }

    fn relation(&self, source: &AnswerSource, endpoints: usize) -> Relation {
        let steps = source.serial.wrapping_sub(self.serial) as i32;
        let max_steps = (MAX_EVENTS_PER_ENGINE * (self.engines.len() + endpoints + 1)) as i32;
        // The list of the configuration has no fingerprint to compare with: it came in another form.
        let is_same = self
            .fingerprint
            .is_none_or(|known| known == source.fingerprint);
        match steps {
            0 if is_same => Relation::Same,
            0 => Relation::Contradicting(RejectReason::RecordsDiffer),
            1.. if steps <= max_steps => Relation::Newer,
            1.. => Relation::Contradicting(RejectReason::SerialLeapsAhead),
            _ => Relation::Contradicting(RejectReason::SerialGoesBack),
        }
    }

    fn entries_of(&mut self, answer: &Answer) -> Vec<EndpointEntry> {
        let mut entries = Vec::new();
        for srv in &answer.srv {
            let Some(host) = HostName::parse(&srv.target) else {
                continue;
            };
            let engine_id = self.engine_id(host.id);
            let known = self.engines.get(&engine_id);
            entries.push(entry_of(answer, srv, engine_id, host.zone, known));
        }
        let mut entries = merge_duplicates(entries);
        drop_superseded(&mut entries);
        entries
    }

    /// An older list may come from a service that lags behind: an engine that was reported as draining or gone stays
    /// so, unless it has started since. Where that leaves no engine ready, the list is right and the reports were wrong.
    fn keep_known_ends(&self, entries: &mut Vec<EndpointEntry>) {
        let is_ready = |entry: &EndpointEntry| entry.status == EndpointState::Ready;
        let has_ended = |entry: &EndpointEntry| self.was_draining(entry) || self.was_gone(entry);
        let mut ready = entries.iter().filter(|entry| is_ready(entry)).peekable();
        if ready.peek().is_some() && ready.all(has_ended) {
            return;
        }
        entries.retain(|entry| !self.was_gone(entry));
        for entry in entries.iter_mut() {
            if self.was_draining(entry) {
                entry.status = EndpointState::Draining;
            }
        }
    }

    /// Whether this process was reported as draining.
    fn was_draining(&self, entry: &EndpointEntry) -> bool {
        let known = self.engines.get(&entry.engine_id);
        known.is_some_and(|known| {
            known.status == EndpointState::Draining && start_of(entry) <= start_of(known)
        })
    }

    /// Whether this process was reported as gone.
    fn was_gone(&self, entry: &EndpointEntry) -> bool {
        let mut gone = self.gone.iter();
        gone.any(|&(engine_id, started)| {
            engine_id == entry.engine_id && start_of(entry) <= started.unwrap_or(0.0)
        })
    }

    /// Puts the entries in the place of the list. Returns them and, at the end, those that are gone.
    fn finish_update(
        &mut self,
        update: &Update,
        mut entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointEntry> {
        self.serial = update.source.serial;
        self.fingerprint = Some(update.source.fingerprint);
        self.query = update.source.query;
        self.unconfirmed = None;
        let before = std::mem::take(&mut self.engines);
        for entry in &entries {
            self.engines.insert(entry.engine_id, entry.clone());
        }
        let mut gone = self.missing_from_list(before);
        self.remember_gone(&gone);
        entries.append(&mut gone);
        entries
    }

    /// The engines that are no longer on the list, in the order of their numbers.
    fn missing_from_list(&self, before: FxHashMap<u64, EndpointEntry>) -> Vec<EndpointEntry> {
        let mut gone = Vec::new();
        for mut entry in before.into_values() {
            if !self.engines.contains_key(&entry.engine_id) {
                entry.status = EndpointState::Gone;
                gone.push(entry);
            }
        }
        gone.sort_by_key(|entry| entry.engine_id);
        gone
    }

    /// Remembers starts of engines that are gone, and forgets their ids: one that comes back gets the same number.
    fn remember_gone(&mut self, gone: &[EndpointEntry]) {
        let engines = &self.engines;
        self.gone
            .retain(|(engine_id, _)| !engines.contains_key(engine_id));
        self.gone
            .extend(gone.iter().map(|entry| (entry.engine_id, entry.started)));
        let surplus = self.gone.len().saturating_sub(MAX_ENGINES);
        self.gone.drain(..surplus);
        self.engine_ids
            .retain(|_, engine_id| engines.contains_key(engine_id));
        self.assigned
            .retain(|engine_id| engines.contains_key(engine_id));
    }
}

#[cfg(test)]
mod tests;
