//! What the other dispatchers run, as they report it.

use crate::events::{DecisionSink, PeerMessage};
use crate::model::{Control, Engine, EngineIndex, LONG_AGO};
use crate::peer_codec;

/// The exchange of low threads between dispatchers.
#[derive(Debug)]
pub(crate) struct PeerLoad {
    /// The reports of the others, where this dispatcher aggregates them.
    pub(crate) reports: PeerReports,
    /// Own low threads changed since they were last reported.
    pub(crate) is_changed: bool,
    /// When they were last reported (ms).
    pub(crate) reported_ms: f64,
    /// When this dispatcher last sent the sum, and when one was last received or computed (ms).
    pub(crate) sum_sent_ms: f64,
    pub(crate) sum_received_ms: f64,
}

impl Default for PeerLoad {
    fn default() -> Self {
        PeerLoad {
            reports: PeerReports::default(),
            is_changed: false,
            reported_ms: 0.0,
            sum_sent_ms: 0.0,
            sum_received_ms: LONG_AGO,
        }
    }
}

/// The last report of each dispatcher, by its number.
#[derive(Debug, Default)]
pub(crate) struct PeerReports(Vec<PeerReport>);

#[derive(Debug)]
struct PeerReport {
    received_ms: f64,
    /// Low threads by engine.
    low_threads: Vec<(EngineIndex, f64)>,
}

impl PeerReports {
    /// Keeps a dispatcher's report in place of its last one. Entries of unknown engines are ignored.
    pub(crate) fn store(&mut self, peer: u32, now_ms: f64, content: &[u8], engines: &[Engine]) {
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

    /// Forgets what was reported of an engine.
    pub(crate) fn forget(&mut self, engine: EngineIndex) {
        for report in &mut self.0 {
            report
                .low_threads
                .retain(|&(reported, _)| reported != engine);
        }
    }

    /// Sets the peers' threads on each engine to the sum of the reports received after `since_ms`.
    pub(crate) fn sum_up(&self, since_ms: f64, engines: &mut [Engine]) {
        for engine in engines.iter_mut() {
            engine.load.peer_threads = 0.0;
        }
        for report in self.0.iter().filter(|report| report.received_ms > since_ms) {
            for &(engine, threads) in &report.low_threads {
                engines[engine.0].load.peer_threads += threads;
            }
        }
    }
}

impl Control {
    /// Sends this dispatcher's low threads to the first `aggregators` dispatchers.
    pub(crate) fn send_report(&mut self, aggregators: u32, out: &mut dyn DecisionSink) {
        self.peer_load.is_changed = false;
        self.peer_load.reported_ms = self.now_ms;
        let aggregators = aggregators.min(self.settings.dispatchers as u32);
        let own_index = self.settings.dispatcher_index;
        let low = self
            .engines
            .iter()
            .filter(|engine| engine.load.low_attempts > 0);
        let entries = low.map(|engine| (engine.engine_id, engine.load.low_threads));
        peer_codec::encode(peer_codec::OWN_LOAD, entries, |content| {
            for peer in (0..aggregators).filter(|&peer| peer != own_index) {
                out.send_to_peer(Some(peer), content);
            }
        });
    }

    /// Adds up the reports received after `since_ms`, and sends all dispatchers the sum.
    pub(crate) fn send_sum(&mut self, since_ms: f64, out: &mut dyn DecisionSink) {
        self.peer_load.sum_sent_ms = self.now_ms;
        self.peer_load.sum_received_ms = self.now_ms;
        self.peer_load.reports.sum_up(since_ms, &mut self.engines);
        let entries = self
            .ready_engines()
            .map(|engine| (engine.engine_id, engine.known_low_threads()));
        peer_codec::encode(peer_codec::TOTAL_LOAD, entries, |content| {
            out.send_to_peer(None, content);
        });
    }

    /// Keeps a dispatcher's report.
    pub(crate) fn store_report(&mut self, message: &PeerMessage) {
        let reports = &mut self.peer_load.reports;
        reports.store(message.peer, self.now_ms, message.content, &self.engines);
    }

    /// Takes over a sum of all dispatchers' low threads.
    pub(crate) fn apply_sum(&mut self, message: &PeerMessage) {
        self.peer_load.sum_received_ms = self.now_ms;
        for (tag, all_threads) in peer_codec::decode(message.content) {
            if let Some(engine) = find_by_tag(&self.engines, tag) {
                let load = &mut self.engines[engine].load;
                load.peer_threads = (all_threads - load.low_threads).max(0.0);
            }
        }
    }
}

fn find_by_tag(engines: &[Engine], tag: [u8; 2]) -> Option<EngineIndex> {
    let mut engines = engines.iter();
    let place = engines.position(|engine| peer_codec::engine_tag(engine.engine_id) == tag);
    place.map(EngineIndex)
}
