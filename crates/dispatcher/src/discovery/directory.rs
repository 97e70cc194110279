//! The list of engines as it is believed, and what an answer makes of it. No I/O, no clock.

use crate::dns::Answer;
use crate::query_registry::EndpointEntry;
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddr};
use tansymux::events::EndpointState;

const MAX_ENGINES: usize = 1024;
/// Events that one engine makes at most between two answers, and still nobody wonders: it drains, it goes, one comes
/// in its place, and that again.
const EVENTS_AN_ENGINE: usize = 6;

/// Engines by their ids: every dispatcher gives an engine the same number, drawn from its id alone.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    engine_ids: FxHashMap<String, u64>,
    taken: FxHashMap<u64, ()>,
    /// The list as last told.
    engines: FxHashMap<u64, EndpointEntry>,
    /// The number of the last event that is known, and what its list looked like.
    pub serial: u32,
    looks: Option<u64>,
    /// To which question its answer came.
    question: u64,
    /// An answer that contradicts what is believed, and waits for another that says the same.
    doubted: Option<Doubted>,
    /// Engines that were told to be gone, with their starts, the latest last: an older list does not bring them back.
    gone: VecDeque<(u64, Option<f64>)>,
}

#[derive(Debug, Clone, Copy)]
struct Doubted {
    serial: u32,
    looks: u64,
    question: u64,
}

/// What became of an answer.
#[derive(Debug, PartialEq)]
pub enum AnswerOutcome {
    /// It tells of events that were not known: the whole list, with those that are gone.
    Updated(Vec<EndpointEntry>),
    /// It says what is known.
    Unchanged,
    Rejected(&'static str),
}

/// How an answer stands to what is believed.
enum Stands {
    Ahead,
    Same,
    Doubtful(&'static str),
}

impl EndpointDirectory {
    /// The number of an engine: that of its id, the next free one where two ids fall together.
    pub fn engine_id(&mut self, id: &str) -> u64 {
        if let Some(&engine_id) = self.engine_ids.get(id) {
            return engine_id;
        }
        let mut engine_id = u64::from(tansymux_operator_config::number_of(id));
        while self.taken.insert(engine_id, ()).is_some() {
            engine_id = (engine_id + 1) & 0xffff_ffff;
        }
        self.engine_ids.insert(id.to_owned(), engine_id);
        engine_id
    }

    pub fn insert(&mut self, engine: EndpointEntry) {
        self.engines.insert(engine.engine_id, engine);
    }

    /// All engines that are known, in the order of their numbers.
    pub fn endpoints(&self) -> Vec<EndpointEntry> {
        let mut all: Vec<EndpointEntry> = self.engines.values().cloned().collect();
        all.sort_by_key(|engine| engine.engine_id);
        all
    }

    /// Takes in the answer to a question. One that goes a step ahead is believed at once. One that leaps, goes back or
    /// says something else under the same number may be spoilt, or what is believed was: it is believed once the
    /// answer to a later question says the same. An engine that has no records any more is gone.
    pub fn apply_answer(&mut self, answer: &Answer, question: u64) -> AnswerOutcome {
        let Some(serial) = answer.serial else {
            return AnswerOutcome::Rejected("it has no serial");
        };
        if answer.srv.len() > MAX_ENGINES {
            return AnswerOutcome::Rejected("the list is too long");
        }
        let looks = looks_of(answer);
        match self.stands(serial, looks, answer.srv.len()) {
            Stands::Same => {
                (self.doubted, self.question) = (None, self.question.max(question));
                self.looks = Some(looks);
                return AnswerOutcome::Unchanged;
            }
            Stands::Ahead => {}
            // An older answer that came late: nobody wonders.
            Stands::Doubtful(_) if question <= self.question => return AnswerOutcome::Unchanged,
            Stands::Doubtful(why) => {
                let seconds = |first: &Doubted| {
                    let ahead = serial.wrapping_sub(first.serial) as i32;
                    question > first.question && (ahead == 0 && looks == first.looks || ahead > 0)
                };
                if !self.doubted.as_ref().is_some_and(seconds) {
                    if self.doubted.is_none_or(|first| question > first.question) {
                        self.doubted = Some(Doubted {
                            serial,
                            looks,
                            question,
                        });
                    }
                    return AnswerOutcome::Rejected(why);
                }
            }
        }
        let back = serial.wrapping_sub(self.serial) as i32 <= 0;
        let mut listed = self.read(answer);
        if back {
            self.hold_to_what_ended(&mut listed);
        }
        (self.serial, self.looks, self.question, self.doubted) =
            (serial, Some(looks), question, None);
        AnswerOutcome::Updated(self.replace(listed))
    }

    fn stands(&self, serial: u32, looks: u64, count: usize) -> Stands {
        let ahead = serial.wrapping_sub(self.serial) as i32;
        let step = (EVENTS_AN_ENGINE * (self.engines.len() + count + 1)) as i32;
        match ahead {
            // What the start told has no look to compare with: it came in another form.
            0 if self.looks.is_none_or(|known| known == looks) => Stands::Same,
            0 => Stands::Doubtful("it says something else under the same serial"),
            1.. if ahead <= step => Stands::Ahead,
            1.. => Stands::Doubtful("its serial leaps ahead"),
            _ => Stands::Doubtful("its serial goes back"),
        }
    }

    fn read(&mut self, answer: &Answer) -> Vec<EndpointEntry> {
        let mut listed: Vec<EndpointEntry> = Vec::new();
        let mut seen = FxHashSet::default();
        for srv in &answer.srv {
            let mut labels = srv.target.split('.');
            let (Some(id), Some(zone)) = (labels.next(), labels.next()) else {
                continue;
            };
            let address = answer
                .addresses
                .iter()
                .find(|(name, _)| *name == srv.target)
                .map(|(_, ip)| *ip);
            let texts = answer.texts.iter().find(|(name, _)| *name == srv.target);
            let text = |name: &str| {
                let texts = texts.map_or([].as_slice(), |(_, texts)| texts);
                texts
                    .iter()
                    .find_map(|text| text.split_once('=').filter(|(n, _)| *n == name))
                    .map(|(_, v)| v)
            };
            let engine_id = self.engine_id(id);
            let before = self.engines.get(&engine_id);
            let kind = text("kind")
                .or(before.map(|b| b.kind.as_str()))
                .unwrap_or("")
                .to_owned();
            let engine = EndpointEntry {
                engine_id,
                address: address
                    .map(|ip: Ipv4Addr| SocketAddr::from((ip, srv.port)))
                    .or(before.and_then(|b| b.address)),
                kind,
                zone: zone.to_owned(),
                cell: text("cell").and_then(|cell| cell.parse().ok()).unwrap_or(0),
                status: if srv.priority == 0 {
                    EndpointState::Ready
                } else {
                    EndpointState::Draining
                },
                started: text("started")
                    .and_then(|ms| ms.parse().ok())
                    .filter(|ms| *ms > 0.0),
            };
            // Of two records of one engine the graver holds.
            if seen.insert(engine_id) {
                listed.push(engine);
            } else if engine.status == EndpointState::Draining {
                listed
                    .iter_mut()
                    .filter(|e| e.engine_id == engine_id)
                    .for_each(|e| e.status = EndpointState::Draining);
            }
        }
        // Where a new engine has the address of an old one that is still listed, the old one is no more: what was meant for
        // it would come to the new one.
        let starts: Vec<(Option<SocketAddr>, f64)> = listed
            .iter()
            .map(|e| (e.address, e.started.unwrap_or(0.0)))
            .collect();
        let later = |e: &EndpointEntry| {
            let own = e.started.unwrap_or(0.0);
            e.address.is_some()
                && starts
                    .iter()
                    .any(|&(at, started)| at == e.address && started > own)
        };
        listed.retain(|e| !later(e));
        listed
    }

    /// An older list may come from a service that lags behind: an engine that was told to drain or to be gone stays
    /// so, unless it has started since. Where that leaves none that is ready, the list is right and what was told wrong.
    fn hold_to_what_ended(&self, listed: &mut Vec<EndpointEntry>) {
        let ended = |e: &EndpointEntry| {
            let drains = self.engines.get(&e.engine_id).is_some_and(|was| {
                was.status == EndpointState::Draining
                    && e.started.unwrap_or(0.0) <= was.started.unwrap_or(0.0)
            });
            let gone = self.gone.iter().any(|&(engine_id, started)| {
                engine_id == e.engine_id && e.started.unwrap_or(0.0) <= started.unwrap_or(0.0)
            });
            (drains, gone)
        };
        let ready = |e: &EndpointEntry| e.status == EndpointState::Ready;
        if listed.iter().any(ready)
            && listed
                .iter()
                .filter(|e| ready(e))
                .all(|e| ended(e) != (false, false))
        {
            return;
        }
        listed.retain(|e| !ended(e).1);
        listed
            .iter_mut()
            .filter(|e| ended(e).0)
            .for_each(|e| e.status = EndpointState::Draining);
    }

    /// Puts a list in the place of the one before; all of it, and those that are gone.
    fn replace(&mut self, mut listed: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
        let known = std::mem::take(&mut self.engines);
        for engine in &listed {
            self.engines.insert(engine.engine_id, engine.clone());
        }
        let gone = known
            .into_values()
            .filter(|engine| !self.engines.contains_key(&engine.engine_id));
        let mut gone: Vec<EndpointEntry> = gone
            .map(|e| EndpointEntry {
                status: EndpointState::Gone,
                ..e
            })
            .collect();
        gone.sort_by_key(|engine| engine.engine_id);
        let engines = &self.engines;
        self.gone
            .retain(|(engine_id, _)| !engines.contains_key(engine_id));
        self.gone
            .extend(gone.iter().map(|engine| (engine.engine_id, engine.started)));
        self.gone
            .drain(..self.gone.len().saturating_sub(MAX_ENGINES));
        // Ids of engines that are gone are forgotten; one that comes back gets the same number by its id.
        self.engine_ids
            .retain(|_, engine_id| engines.contains_key(engine_id));
        self.taken
            .retain(|engine_id, _| engines.contains_key(engine_id));
        listed.append(&mut gone);
        listed
    }
}

/// What an answer says, in whatever order.
fn looks_of(answer: &Answer) -> u64 {
    let of = |what: &dyn Fn(&mut FxHasher)| {
        let mut hasher = FxHasher::default();
        what(&mut hasher);
        hasher.finish()
    };
    let srv = answer
        .srv
        .iter()
        .map(|s| of(&|h| (s.priority, s.port, &s.target).hash(h)));
    let addresses = answer.addresses.iter().map(|a| of(&|h| a.hash(h)));
    let texts = answer.texts.iter().map(|t| of(&|h| t.hash(h)));
    srv.chain(addresses).chain(texts).fold(0, u64::wrapping_add)
}

#[cfg(test)]
mod tests;
