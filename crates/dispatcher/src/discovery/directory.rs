//! The accepted endpoint list, and the rules by which an answer of the name service changes it. No I/O, no clock.

use super::engine_starts::EngineStarts;
use super::records::{
    drop_superseded, entry_of, fingerprint, merge_duplicates, start_of, HostName,
};
use super::reject_reason::RejectReason;
use crate::clock::WallClock;
use crate::dns::Answer;
use crate::query_registry::EndpointEntry;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use tansymux::events::EndpointState;

/// Endpoints of a list at most: a bound on memory, above the largest pool (operators' page: 3,200).
const MAX_ENGINES: usize = 4096;
/// Serial steps per engine that are plausible between two answers: it drains, leaves and is replaced, twice over.
const MAX_EVENTS_PER_ENGINE: usize = 6;

/// The accepted endpoint list. Every dispatcher gives an engine the same number, derived from its id alone.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    engine_ids: FxHashMap<String, u64>,
    /// The numbers in `engine_ids`.
    assigned: FxHashSet<u64>,
    /// The list as last reported.
    engines: FxHashMap<u64, EndpointEntry>,
    /// The serial of the list: the number of its latest change.
    pub serial: u32,
    /// Fingerprint of the accepted answer; `None` while the list comes from the configuration.
    fingerprint: Option<u64>,
    /// Number of the query that was answered by the list.
    query: u64,
    /// A contradicting answer that waits to be confirmed by a second one.
    unconfirmed: Option<AnswerSource>,
    /// Engines that left, with their start times: an older list does not bring them back.
    gone: FxHashMap<u64, Option<f64>>,
    /// Their numbers, the latest last.
    gone_order: VecDeque<u64>,
    starts: EngineStarts,
}

/// What identifies an answer.
#[derive(Debug, Clone, Copy)]
struct AnswerSource {
    serial: u32,
    fingerprint: u64,
    query: u64,
}

impl AnswerSource {
    /// Whether a later answer has the same content, or a newer serial.
    fn is_confirmed_by(&self, later: &AnswerSource) -> bool {
        let steps = later.serial.wrapping_sub(self.serial) as i32;
        let is_same = steps == 0 && later.fingerprint == self.fingerprint;
        later.query > self.query && (is_same || steps > 0)
    }
}

/// The result of an answer.
#[derive(Debug, PartialEq)]
pub enum AnswerOutcome {
    /// It was accepted: the whole list, followed by the engines that are gone.
    Updated(Vec<EndpointEntry>),
    /// It brings nothing new.
    Unchanged,
    /// It was not accepted.
    Rejected(RejectReason),
}

/// How an answer relates to the list.
enum Relation {
    /// It is newer by a plausible number of changes.
    Newer,
    /// It is the accepted answer.
    Same,
    /// It contradicts the list: one of the two is corrupt or outdated.
    Contradicting(RejectReason),
}

/// An accepted update that has begun.
struct Update {
    source: AnswerSource,
    /// Its serial is not above that of the list, so it may come from a name service that lags behind.
    is_not_newer: bool,
}

impl EndpointDirectory {
    /// The number of an engine: a hash of its id, or the next free number if that is taken.
    pub fn engine_id(&mut self, id: &str) -> u64 {
        if let Some(&engine_id) = self.engine_ids.get(id) {
            return engine_id;
        }
        let mut engine_id = u64::from(tansymux_operator_config::name_hash(id));
        while !self.assigned.insert(engine_id) {
            engine_id = (engine_id + 1) & 0xffff_ffff;
        }
        self.engine_ids.insert(id.to_owned(), engine_id);
        engine_id
    }

    /// Adds or replaces an engine of the configuration's list.
    pub fn upsert_endpoint(&mut self, engine: EndpointEntry) {
        self.engines.insert(engine.engine_id, engine);
    }

    /// The list's start times, which are Unix times, are times of the program's clock from now on.
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

    /// Looks whether the wall clock was stepped.
    pub fn observe_wall_clock(&mut self) {
        self.starts.observe_wall_clock();
    }

    /// All engines of the list, in the order of their numbers.
    pub fn endpoints(&self) -> Vec<EndpointEntry> {
        let mut endpoints: Vec<EndpointEntry> = self.engines.values().cloned().collect();
        endpoints.sort_by_key(|engine| engine.engine_id);
        endpoints
    }

    /// Applies the answer to query number `query`. One with a plausibly newer serial is accepted at once. One whose
    /// serial leaps ahead or goes back, or whose records differ under the same serial, is accepted when the answer to
    /// a later query confirms it. An engine without records is gone.
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
        match self.relation(&source, answer.srv.len()) {
            Relation::Same => {
                self.starts.on_list();
                self.unconfirmed = None;
                self.query = self.query.max(query);
                self.fingerprint = Some(source.fingerprint);
                return Ok(None);
            }
            Relation::Newer => {}
            // An answer that arrived late is outdated, not suspicious.
            Relation::Contradicting(_) if query <= self.query => return Ok(None),
            Relation::Contradicting(reason) => self.confirm(source).ok_or(reason)?,
        }
        let is_not_newer = serial.wrapping_sub(self.serial) as i32 <= 0;
        Ok(Some(Update {
            source,
            is_not_newer,
        }))
    }

    /// `Some` if this contradicting answer confirms the one before; otherwise it waits to be confirmed itself.
    fn confirm(&mut self, source: AnswerSource) -> Option<()> {
        match self.unconfirmed {
            Some(first) if first.is_confirmed_by(&source) => Some(()),
            // A copy of the waiting answer, or an earlier one, does not replace it.
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
        // The list of the configuration has no fingerprint to compare with.
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
    /// from a name service that lags behind. If that would leave no engine ready, the list is taken as it is.
    fn keep_known_ends(&self, entries: &mut Vec<EndpointEntry>) {
        let is_ready = |entry: &EndpointEntry| entry.state == EndpointState::Ready;
        let has_ended = |entry: &EndpointEntry| self.was_draining(entry) || self.was_gone(entry);
        let mut ready = entries.iter().filter(|entry| is_ready(entry)).peekable();
        if ready.peek().is_some() && ready.all(has_ended) {
            return;
        }
        entries.retain(|entry| !self.was_gone(entry));
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

    /// Whether this process was reported as gone.
    fn was_gone(&self, entry: &EndpointEntry) -> bool {
        let gone = self.gone.get(&entry.engine_id);
        gone.is_some_and(|started| start_of(entry) <= started.unwrap_or(0.0))
    }

    /// Replaces the list by `entries`. Returns them, followed by the engines that are gone.
    fn finish_update(
        &mut self,
        update: &Update,
        mut entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointEntry> {
        self.starts.on_list();
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

    /// Remembers the engines that are gone, and frees their numbers: one that returns gets the same by its id.
    fn remember_gone(&mut self, gone: &[EndpointEntry]) {
        let engines = &self.engines;
        self.gone
            .retain(|engine_id, _| !engines.contains_key(engine_id));
        self.gone_order
            .retain(|engine_id| !engines.contains_key(engine_id));
        for entry in gone {
            if self
                .gone
                .insert(entry.engine_id, entry.started_ms)
                .is_none()
            {
                self.gone_order.push_back(entry.engine_id);
            }
        }
        while self.gone_order.len() > MAX_ENGINES {
            if let Some(oldest) = self.gone_order.pop_front() {
                self.gone.remove(&oldest);
            }
        }
        let gone = &self.gone;
        self.starts
            .retain(|engine_id| engines.contains_key(&engine_id) || gone.contains_key(&engine_id));
        self.engine_ids
            .retain(|_, engine_id| engines.contains_key(engine_id));
        self.assigned
            .retain(|engine_id| engines.contains_key(engine_id));
    }
}

#[cfg(test)]
mod tests;
