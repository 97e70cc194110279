//! Peer load: the low-lane threads that dispatchers report to each other, if the platform lets them exchange messages,
//! and the share of each engine that this dispatcher may fill.

use crate::events::{DecisionSink, PeerMessage};
use crate::model::{Engine, EngineIndex, EngineTable, LONG_AGO};
use crate::peer_codec;
use crate::settings::Settings;

/// Number of aggregators, the dispatchers that add up all reports. They are the dispatchers with the lowest indices;
/// there is more than one for redundancy.
const AGGREGATORS: u32 = 2;
/// Interval at which an aggregator sends the sum of all reports (ms).
const SUM_INTERVAL_MS: f64 = 300.0;
/// Time for which a sum is valid after it was received (ms).
const SUM_VALIDITY_MS: f64 = 2000.0;
/// Interval at which an unchanged report is sent again (ms).
const REPORT_INTERVAL_MS: f64 = 4000.0;
/// Time for which a report is valid after it was received (ms).
const REPORT_VALIDITY_MS: f64 = 10_000.0;

/// The exchange of low-lane threads between dispatchers.
#[derive(Debug)]
pub(crate) struct PeerLoad {
    is_enabled: bool,
    /// Number of dispatchers that share the pool.
    dispatchers: f64,
    /// This dispatcher's index among them.
    own_index: u32,
    /// The reports of the other dispatchers; empty unless this dispatcher is an aggregator.
    reports: PeerReports,
    /// This dispatcher's low-lane threads changed since they were last reported.
    has_changed: bool,
    /// When this dispatcher's low-lane threads were last reported (ms).
    reported_ms: f64,
    /// When this dispatcher last sent the sum (ms).
    sum_sent_ms: f64,
    /// When a sum was last received or computed (ms).
    sum_received_ms: f64,
}

impl PeerLoad {
    /// The state before the first message.
    pub(crate) fn new(settings: &Settings) -> Self {
        PeerLoad {
            is_enabled: settings.capabilities.peer_messages && settings.dispatchers >= 2.0,
            dispatchers: settings.dispatchers,
            own_index: settings.dispatcher_index,
            reports: PeerReports::default(),
            has_changed: false,
            reported_ms: 0.0,
            sum_sent_ms: 0.0,
            sum_received_ms: LONG_AGO,
        }
    }

    /// The fraction of each engine's limit that applies to this dispatcher: an even share, or 1 while a valid sum of
    /// all dispatchers' threads is known, because the sum is then counted against the limit.
    pub(crate) fn pool_share(&self, now_ms: f64) -> f64 {
        let is_sum_known = now_ms - self.sum_received_ms < SUM_VALIDITY_MS;
        if is_sum_known {
            return 1.0;
        }
        1.0 / self.dispatchers
    }

    /// Records that this dispatcher's low-lane threads changed.
    pub(crate) fn record_change(&mut self) {
        self.has_changed = true;
    }

    /// Removes an engine from the peers' reports.
    pub(crate) fn forget(&mut self, engine: EngineIndex) {
        self.reports.forget(engine);
    }

    /// Reports this dispatcher's low-lane threads to the aggregators, if a report is due. If this dispatcher is an
    /// aggregator, also sends the sum to all dispatchers at its interval.
    pub(crate) fn exchange(
        &mut self,
        engines: &mut EngineTable,
        now_ms: f64,
        out: &mut dyn DecisionSink,
    ) {
        if !self.is_enabled {
            return;
        }
        let is_report_due = now_ms - self.reported_ms > REPORT_INTERVAL_MS;
        if self.has_changed || is_report_due && engines.has_low_attempts() {
            self.send_report(engines, now_ms, out);
        }
        if self.is_aggregator() && now_ms - self.sum_sent_ms > SUM_INTERVAL_MS {
            self.send_sum(engines, now_ms, out);
        }
    }

    /// Records a message from another dispatcher. Ignores a message of unknown kind, a report from an unknown sender,
    /// and a sum if this dispatcher is an aggregator.
    pub(crate) fn record_message(
        &mut self,
        message: &PeerMessage,
        engines: &mut EngineTable,
        now_ms: f64,
    ) {
        let is_known_peer = f64::from(message.peer) < self.dispatchers;
        match message.content.first() {
            Some(&peer_codec::OWN_LOAD) if is_known_peer => {
                self.reports
                    .store(message.peer, now_ms, message.content, engines);
            }
            Some(&peer_codec::TOTAL_LOAD) if !self.is_aggregator() => {
                self.apply_sum(message, engines, now_ms);
            }
            _ => {}
        }
    }

    fn is_aggregator(&self) -> bool {
        self.own_index < AGGREGATORS
    }

    fn send_report(&mut self, engines: &EngineTable, now_ms: f64, out: &mut dyn DecisionSink) {
        self.has_changed = false;
        self.reported_ms = now_ms;
        let aggregators = AGGREGATORS.min(self.dispatchers as u32);
        let own_index = self.own_index;
        let used = engines
            .iter()
            .filter(|engine| engine.load.low_attempts() > 0);
        let entries = used.map(|engine| (engine.engine_id, engine.load.low_threads()));
        peer_codec::encode(peer_codec::OWN_LOAD, entries, |content| {
            for peer in (0..aggregators).filter(|&peer| peer != own_index) {
                out.send_to_peer(Some(peer), content);
            }
        });
    }

    fn send_sum(&mut self, engines: &mut EngineTable, now_ms: f64, out: &mut dyn DecisionSink) {
        self.sum_sent_ms = now_ms;
        self.sum_received_ms = now_ms;
        self.reports.sum_into(now_ms - REPORT_VALIDITY_MS, engines);
        let entries = engines
            .ready()
            .map(|engine| (engine.engine_id, engine.load.known_low_threads()));
        peer_codec::encode(peer_codec::TOTAL_LOAD, entries, |content| {
            out.send_to_peer(None, content);
        });
    }

    fn apply_sum(&mut self, message: &PeerMessage, engines: &mut EngineTable, now_ms: f64) {
        self.sum_received_ms = now_ms;
        for (tag, total_threads) in peer_codec::decode(message.content) {
            if let Some(engine) = find_by_tag(engines, tag) {
                let load = &mut engines[engine].load;
                load.set_peer_threads((total_threads - load.low_threads()).max(0.0));
            }
        }
    }
}

/// The last report of each dispatcher, by the dispatcher's index.
#[derive(Debug, Default)]
struct PeerReports(Vec<PeerReport>);

#[derive(Debug)]
struct PeerReport {
    /// When the report was received (ms).
    received_ms: f64,
    /// Low-lane threads by engine.
    low_threads: Vec<(EngineIndex, f64)>,
}

impl PeerReports {
    /// Replaces a dispatcher's last report. Ignores entries of unknown engines.
    fn store(&mut self, peer: u32, now_ms: f64, content: &[u8], engines: &EngineTable) {
        let len = self.0.len().max(peer as usize + 1);
        self.0.resize_with(len, || PeerReport {
            received_ms: LONG_AGO,
            low_threads: Vec::new(),
        });
        let report = &mut self.0[peer as usize];
        report.received_ms = now_ms;
        report.low_threads.clear();
        for (tag, threads) in peer_codec::decode(content) {
            if let Some(engine) = find_by_tag(engines, tag) {
                report.low_threads.push((engine, threads));
            }
        }
    }

    fn forget(&mut self, engine: EngineIndex) {
        for report in &mut self.0 {
            report
                .low_threads
                .retain(|&(reported, _)| reported != engine);
        }
    }

    /// Sets the peers' threads of each engine to the sum of the reports that were received after `since_ms`.
    fn sum_into(&self, since_ms: f64, engines: &mut EngineTable) {
        for engine in engines.iter_mut() {
            engine.load.set_peer_threads(0.0);
        }
        for report in self.0.iter().filter(|report| report.received_ms > since_ms) {
            for &(engine, threads) in &report.low_threads {
                let load = &mut engines[engine].load;
                load.set_peer_threads(load.peer_threads() + threads);
            }
        }
    }
}

/// The first engine whose id has this tag.
fn find_by_tag(engines: &EngineTable, tag: [u8; 2]) -> Option<EngineIndex> {
    let has_tag = |engine: &Engine| peer_codec::engine_tag(engine.engine_id) == tag;
    engines.iter().position(has_tag).map(EngineIndex)
}
