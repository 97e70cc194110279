//! The zone health detector of one dispatcher.
//!
//! [`ZoneHealthDetector::handle`] records evidence, [`ZoneHealthDetector::evaluate`] updates the states of zones from
//! that evidence (submodule `evaluation`), and [`ZoneHealthDetector::routing_plan`] returns the resulting plan for
//! placement (submodule `planning`). Submodule `evidence` prepares the reports to the fleet and to peers.

mod evaluation;
mod evidence;
mod planning;
mod records;

use crate::codec::{self, ZoneReport};
use crate::config::Config;
use crate::model::{Engine, Observation, Reason, ZoneChange, ZoneState};
use records::{EngineRecord, PeerRecord, ZoneRecord};
use std::collections::BTreeMap;

/// Time for which an observation counts as recent (ms).
const EVIDENCE_LIFETIME_MS: f64 = 8000.0;
/// Interval between messages to peers (ms). After a change of state, the next message is due immediately.
const MESSAGE_INTERVAL_MS: f64 = 1500.0;
/// An endpoint list that drops at least this fraction of a zone's ready engines while they are answering is recorded as
/// suspicious.
const SUSPICIOUS_DROP_FRACTION: f64 = 0.5;
/// An engine that the endpoint list drops counts as answering if its last answer is less than this old (ms).
const ANSWERED_RECENTLY_MS: f64 = 2000.0;
/// Interval between health checks of an unreachable zone (ms). Each check goes to the next engine in round-robin order.
const HEALTH_CHECK_INTERVAL_MS: f64 = 500.0;
/// Maximum number of peers whose reports are kept.
const MAX_PEERS: usize = 1024;
/// Maximum number of entries in the history.
const MAX_HISTORY: usize = 64;
/// Timestamp of events that have not occurred (ms); earlier than all other times.
const NEVER_MS: f64 = -1e12;

/// An event for the detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event<'a> {
    /// A new endpoint list, in full. Evidence on engines that are no longer listed is discarded.
    EnginesListed(&'a [Engine]),
    /// The result of an attempt or a health check. Observations of engines that are not listed are ignored.
    EngineObserved(Observation),
    /// A message from a peer. Messages that are not valid zone reports are ignored.
    PeerMessage {
        /// Number that identifies the peer.
        peer: u32,
        /// The encoded message.
        content: &'a [u8],
    },
}

/// Detects the zones that this dispatcher cannot reach. All times are milliseconds on the caller's clock.
#[derive(Debug, Clone)]
pub struct ZoneHealthDetector {
    config: Config,
    /// Listed engines by identifier. The fixed order makes results deterministic.
    engines: BTreeMap<u64, EngineRecord>,
    zones: Vec<ZoneRecord>,
    peers: Vec<PeerRecord>,
    /// Configured number of dispatchers that share the engines.
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
    /// Creates a detector without evidence. `dispatchers` is the configured number of dispatchers that share the
    /// engines.
    pub fn new(config: Config, dispatchers: f64) -> Self {
        ZoneHealthDetector {
            config,
            engines: BTreeMap::new(),
            zones: Vec::new(),
            peers: Vec::new(),
            dispatchers: dispatchers.max(1.0),
            now_ms: NEVER_MS,
            evaluated_ms: NEVER_MS,
            is_isolated: false,
            message_sent_ms: NEVER_MS,
            version: 1,
            history: Vec::new(),
            new_changes: Vec::new(),
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Replaces the configuration. The states of zones and the evidence on engines are kept.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
        self.version += 1;
    }

    /// Whether all zones fail at once, so that this dispatcher is probably isolated from the network.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Returns a number that increases with each entry of the history and each change of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the most recent changes, oldest first.
    pub fn history(&self) -> &[ZoneChange] {
        &self.history
    }

    /// Returns the changes since the last call of this function.
    pub fn take_changes(&mut self) -> Vec<ZoneChange> {
        std::mem::take(&mut self.new_changes)
    }

    /// Returns the state of a zone, or `None` if the zone is unknown.
    pub fn state(&self, zone: &str) -> Option<ZoneState> {
        let record = self.zones.iter().find(|record| record.name == zone)?;
        Some(record.state)
    }

    /// Records evidence. The states of zones change at the next call of [`ZoneHealthDetector::evaluate`].
    pub fn handle(&mut self, event: Event<'_>, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        match event {
            Event::EnginesListed(engines) => self.on_engines_listed(engines),
            Event::EngineObserved(observation) => self.on_observation(observation),
            Event::PeerMessage { peer, content } => self.on_peer_message(peer, content),
        }
    }

    /// Returns the message to send to peers if a message is due.
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

    /// Returns the engine to health-check if a check of an unreachable zone is due. Must be called only if health
    /// checks are allowed.
    pub fn poll_health_check(&mut self, now_ms: f64) -> Option<u64> {
        let zone = self.zones.iter().position(|record| {
            record.state == ZoneState::Unreachable
                && now_ms - record.health_checked_ms >= HEALTH_CHECK_INTERVAL_MS
        })?;
        let candidates: Vec<u64> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.zone == zone && engine.is_ready)
            .map(|(engine_id, _)| *engine_id)
            .collect();
        let record = &mut self.zones[zone];
        record.health_checked_ms = now_ms;
        record.health_checks = record.health_checks.wrapping_add(1);
        let next = record.health_checks % candidates.len().max(1);
        candidates.get(next).copied()
    }

    fn ready_engines(&self, zone: usize) -> impl Iterator<Item = &EngineRecord> {
        self.engines
            .values()
            .filter(move |engine| engine.zone == zone && engine.is_ready)
    }

    fn on_engines_listed(&mut self, engines: &[Engine]) {
        let mut ready_before = vec![0_usize; self.zones.len()];
        for engine in self.engines.values().filter(|engine| engine.is_ready) {
            ready_before[engine.zone] += 1;
        }
        let dropped = self.replace_engines(engines);
        let mut dropped_answering = vec![0_usize; ready_before.len()];
        for engine in dropped.values() {
            let answered_recently = self.now_ms - engine.answered_ms < ANSWERED_RECENTLY_MS;
            if engine.is_ready && engine.failures_in_row == 0 && answered_recently {
                dropped_answering[engine.zone] += 1;
            }
        }
        for (zone, ready) in ready_before.into_iter().enumerate() {
            let suspicious_count = SUSPICIOUS_DROP_FRACTION * ready as f64;
            if ready > 1 && dropped_answering[zone] as f64 >= suspicious_count {
                let state = self.zones[zone].state;
                self.set_state(zone, state, Reason::ListDropsEngines);
            }
        }
    }

    /// Replaces the engines with those of a new list. Returns the engines that are no longer listed. The evidence on an
    /// engine is kept if the engine is still in the same zone.
    fn replace_engines(&mut self, engines: &[Engine]) -> BTreeMap<u64, EngineRecord> {
        let mut listed = BTreeMap::new();
        for engine in engines {
            let zone = self.zone_index_or_insert(&engine.zone);
            let previous = self.engines.remove(&engine.engine_id);
            let mut record = match previous {
                Some(previous) if previous.zone == zone => previous,
                _ => EngineRecord::new(zone),
            };
            record.cores = engine.cores;
            record.is_ready = engine.is_ready;
            listed.insert(engine.engine_id, record);
        }
        std::mem::replace(&mut self.engines, listed)
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
            Some(index) => self.peers[index] = record,
            None if self.peers.len() < MAX_PEERS => self.peers.push(record),
            None => {}
        }
    }

    /// Returns the index of a zone. Adds the zone if it is unknown.
    fn zone_index_or_insert(&mut self, name: &str) -> usize {
        if let Some(index) = self.zones.iter().position(|zone| zone.name == name) {
            return index;
        }
        self.zones.push(ZoneRecord::new(name, self.now_ms));
        self.zones.len() - 1
    }

    /// Sets a zone's state and adds an entry to the history. Resets `state_since_ms` even if the state stays the same.
    /// The next message to peers becomes due immediately.
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
        self.message_sent_ms = NEVER_MS;
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push(change.clone());
        self.new_changes.push(change);
    }
}
