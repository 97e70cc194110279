//! The zone health detector of one dispatcher.
//!
//! [`ZoneHealthDetector::handle`] takes evidence, [`ZoneHealthDetector::evaluate`] changes the states of zones by it
//! (submodule `evaluation`), and [`ZoneHealthDetector::routing_plan`] is what follows for placement (submodule
//! `planning`).

mod evaluation;
mod planning;
mod records;

use crate::codec::{self, ZoneReport};
use crate::config::Config;
use crate::model::{
    Engine, Observation, Reachability, Reason, ZoneChange, ZoneEvidence, ZoneState,
};
use records::{EngineRecord, PeerRecord, ZoneRecord};
use std::collections::BTreeMap;

/// Evidence older than this is ignored (ms): what was not tried lately is not known.
const EVIDENCE_LIFETIME_MS: f64 = 8000.0;
/// Interval of messages to peers (ms); a change is reported at once.
const MESSAGE_INTERVAL_MS: f64 = 1500.0;
/// An endpoint list that drops at least this fraction of a zone's ready engines while they answer is noted as wrong.
const SUSPICIOUS_DROP_FRACTION: f64 = 0.5;
/// An engine that answered within this time before it was dropped counts as answering (ms).
const ANSWERED_LATELY_MS: f64 = 2000.0;
/// Interval of health checks of an unreachable zone (ms), one engine after the other.
const HEALTH_CHECK_INTERVAL_MS: f64 = 500.0;
/// Limit on the number of peers.
const MAX_PEERS: usize = 1024;
/// Changes that are kept for display.
const MAX_HISTORY: usize = 64;
/// A time before all others (ms).
const LONG_AGO_MS: f64 = -1e12;

/// What a detector reacts to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list, whole. Evidence of engines that are not listed any more is forgotten.
    EnginesListed(&'a [Engine]),
    /// What an attempt or a health check showed of an engine. One that is not listed is ignored.
    EngineObserved(Observation),
    /// A peer's message. Bytes that are no message about zones are ignored.
    PeerMessage {
        /// The peer's number.
        peer: u32,
        /// Its message.
        content: &'a [u8],
    },
}

/// Which zones this dispatcher reaches. All times in milliseconds of the caller's clock.
#[derive(Debug, Clone)]
pub struct ZoneHealthDetector {
    config: Config,
    /// By identifier, so that no result depends on the order of a hash.
    engines: BTreeMap<u64, EngineRecord>,
    zones: Vec<ZoneRecord>,
    peers: Vec<PeerRecord>,
    /// Dispatchers that share the engines, as configured.
    dispatchers: f64,
    now_ms: f64,
    evaluated_ms: f64,
    is_isolated: bool,
    message_sent_ms: f64,
    version: u64,
    history: Vec<ZoneChange>,
    new_changes: Vec<ZoneChange>,
}

impl ZoneHealthDetector {
    /// A detector without evidence; `dispatchers`: how many share the engines, as configured.
    pub fn new(config: Config, dispatchers: f64) -> Self {
        ZoneHealthDetector {
            config,
            engines: BTreeMap::new(),
            zones: Vec::new(),
            peers: Vec::new(),
            dispatchers: dispatchers.max(1.0),
            now_ms: LONG_AGO_MS,
            evaluated_ms: LONG_AGO_MS,
            is_isolated: false,
            message_sent_ms: LONG_AGO_MS,
            version: 1,
            history: Vec::new(),
            new_changes: Vec::new(),
        }
    }

    /// The settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Replaces the settings; what is known of zones and engines stays.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
        self.version += 1;
    }

    /// Whether this dispatcher loses all zones at once, and so concludes that it is cut off itself.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Counts changes of states and settings.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The last changes, oldest first.
    pub fn history(&self) -> &[ZoneChange] {
        &self.history
    }

    /// Changes since they were last taken.
    pub fn take_changes(&mut self) -> Vec<ZoneChange> {
        std::mem::take(&mut self.new_changes)
    }

    /// The state of a zone; `None` if it is not known.
    pub fn state(&self, zone: &str) -> Option<ZoneState> {
        let record = self.zones.iter().find(|record| record.name == zone)?;
        Some(record.state)
    }

    /// Takes evidence. States change with the next [`ZoneHealthDetector::evaluate`].
    pub fn handle(&mut self, event: Event<'_>, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        match event {
            Event::EnginesListed(engines) => self.on_engines_listed(engines),
            Event::EngineObserved(observation) => self.on_observation(observation),
            Event::PeerMessage { peer, content } => self.on_peer_message(peer, content),
        }
    }

    /// The message that is due to peers, if one is.
    pub fn poll_message(&mut self, now_ms: f64) -> Option<Vec<u8>> {
        if now_ms - self.message_sent_ms < MESSAGE_INTERVAL_MS || self.zones.len() < 2 {
            return None;
        }
        self.message_sent_ms = now_ms;
        let reports = (0..self.zones.len()).map(|zone| ZoneReport {
            zone_hash: codec::zone_hash(&self.zones[zone].name),
            reachability: self.reachability(zone),
        });
        Some(codec::encode(self.is_isolated, reports))
    }

    /// The engine of an unreachable zone whose health check is due, if one is. To be called only where health checks
    /// are allowed.
    pub fn poll_health_check(&mut self, now_ms: f64) -> Option<u64> {
        let zone = self.zones.iter().position(|record| {
            record.state == ZoneState::Unreachable
                && now_ms - record.health_checked_ms >= HEALTH_CHECK_INTERVAL_MS
        })?;
        let candidates: Vec<u64> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.zone == zone && engine.ready)
            .map(|(engine_id, _)| *engine_id)
            .collect();
        let record = &mut self.zones[zone];
        record.health_checked_ms = now_ms;
        record.health_checks = record.health_checks.wrapping_add(1);
        let next = record.health_checks % candidates.len().max(1);
        candidates.get(next).copied()
    }

    /// Evidence about all zones for the fleet, where several dispatchers must report the same: one missing answer of
    /// each engine that was tried is enough to report a zone unreachable. Where all zones seem lost, none is reported.
    pub fn evidence(&self) -> impl Iterator<Item = ZoneEvidence<'_>> + '_ {
        let seems_lost: Vec<bool> = (0..self.zones.len())
            .map(|zone| self.seems_lost(zone))
            .collect();
        let all_lost = !seems_lost.is_empty() && seems_lost.iter().all(|lost| *lost);
        self.zones.iter().enumerate().map(move |(zone, record)| {
            let by_state = self.reachability(zone);
            let reachability = match by_state {
                Reachability::Reachable | Reachability::Unknown if seems_lost[zone] => {
                    if all_lost {
                        Reachability::Unknown
                    } else {
                        Reachability::Unreachable
                    }
                }
                _ => by_state,
            };
            ZoneEvidence {
                zone: &record.name,
                reachability,
                successes: record.total_successes,
                failures: record.total_failures,
            }
        })
    }

    /// Whether no engine of a zone that was tried lately has answered since, and half of them were tried.
    fn seems_lost(&self, zone: usize) -> bool {
        let mut ready = 0;
        let mut tried = 0;
        let mut all_fail = true;
        for engine in self.ready_engines(zone) {
            ready += 1;
            if engine.was_tried_since(self.now_ms, EVIDENCE_LIFETIME_MS) {
                tried += 1;
                all_fail &= engine.failures_in_row > 0;
            }
        }
        tried > 0 && 2 * tried >= ready && all_fail
    }

    /// Whether a zone is reached, as reported to others: reachable only with evidence.
    fn reachability(&self, zone: usize) -> Reachability {
        let answered = self.engines.values().any(|engine| {
            engine.zone == zone && self.now_ms - engine.answered_ms < EVIDENCE_LIFETIME_MS
        });
        match self.zones[zone].state {
            ZoneState::Unreachable => Reachability::Unreachable,
            ZoneState::Recovering(_) => Reachability::Recovering,
            ZoneState::Healthy if answered => Reachability::Reachable,
            ZoneState::Healthy => Reachability::Unknown,
        }
    }

    fn ready_engines(&self, zone: usize) -> impl Iterator<Item = &EngineRecord> {
        self.engines
            .values()
            .filter(move |engine| engine.zone == zone && engine.ready)
    }

    // ---- Events ----

    fn on_engines_listed(&mut self, engines: &[Engine]) {
        let mut ready_before = vec![0_usize; self.zones.len()];
        for engine in self.engines.values().filter(|engine| engine.ready) {
            ready_before[engine.zone] += 1;
        }
        let mut listed = BTreeMap::new();
        for engine in engines {
            let zone = self.zone_index(&engine.zone);
            let known = self.engines.remove(&engine.engine_id);
            let mut record = match known {
                Some(known) if known.zone == zone => known,
                _ => EngineRecord::without_evidence(zone),
            };
            record.cores = engine.cores;
            record.ready = engine.ready;
            listed.insert(engine.engine_id, record);
        }
        let dropped = std::mem::replace(&mut self.engines, listed);
        let mut dropped_answering = vec![0_usize; ready_before.len()];
        for engine in dropped.values() {
            let answered_lately = self.now_ms - engine.answered_ms < ANSWERED_LATELY_MS;
            if engine.ready && engine.failures_in_row == 0 && answered_lately {
                dropped_answering[engine.zone] += 1;
            }
        }
        for (zone, ready) in ready_before.into_iter().enumerate() {
            let suspicious = SUSPICIOUS_DROP_FRACTION * ready as f64;
            if ready > 1 && dropped_answering[zone] as f64 >= suspicious {
                let state = self.zones[zone].state;
                self.set_state(zone, state, Reason::ListDropsEngines);
            }
        }
    }

    fn on_observation(&mut self, observation: Observation) {
        let Some(engine) = self.engines.get_mut(&observation.engine_id) else {
            return;
        };
        let zone = &mut self.zones[engine.zone];
        engine.observe(observation.kind, self.now_ms);
        zone.observe(observation.kind, self.now_ms);
    }

    fn on_peer_message(&mut self, peer: u32, content: &[u8]) {
        let Ok(report) = codec::decode(content) else {
            return;
        };
        let record = PeerRecord {
            number: peer,
            received_ms: self.now_ms,
            report,
        };
        match self.peers.iter().position(|known| known.number == peer) {
            Some(known) => self.peers[known] = record,
            None if self.peers.len() < MAX_PEERS => self.peers.push(record),
            None => {}
        }
    }

    // ---- Helpers of all steps ----

    /// The index of a zone, which is added if it is not known.
    fn zone_index(&mut self, name: &str) -> usize {
        if let Some(index) = self.zones.iter().position(|zone| zone.name == name) {
            return index;
        }
        self.zones.push(ZoneRecord::new(name, self.now_ms));
        self.zones.len() - 1
    }

    /// Sets a zone's state and records the change; peers learn of it with the next message.
    fn set_state(&mut self, zone: usize, state: ZoneState, reason: Reason) {
        let record = &mut self.zones[zone];
        record.state = state;
        record.state_since_ms = self.now_ms;
        let change = ZoneChange {
            at_ms: self.now_ms,
            zone: record.name.clone(),
            state,
            reason,
        };
        self.version += 1;
        self.message_sent_ms = LONG_AGO_MS;
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push(change.clone());
        self.new_changes.push(change);
    }
}
