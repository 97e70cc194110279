//! Peer load: what dispatchers report to each other, where they may exchange messages, and the share of an
//! engine that this dispatcher may fill.

use crate::events::{DecisionSink, PeerMessage};
use crate::model::Control;
use crate::peer_codec;

const AGGREGATORS: u32 = 2; // The first dispatchers add up all reports, alike: each may die or be cut off.
const SUM_INTERVAL_MS: f64 = 300.0; // An aggregator sends the sum every so often;
const SUM_COUNTS_MS: f64 = 2000.0; // it counts for this time.
const REPORT_INTERVAL_MS: f64 = 4000.0; // A report that does not change is renewed every so often,
const REPORT_COUNTS_MS: f64 = 10_000.0; // and forgotten after this time.

impl Control {
    /// This dispatcher's share of an engine: an even one, or the whole while it knows what all run there.
    pub(crate) fn pool_share(&self) -> f64 {
        let is_sum_known = self.now_ms - self.peer_load.sum_received_ms < SUM_COUNTS_MS;
        if is_sum_known {
            return 1.0;
        }
        1.0 / self.settings.dispatchers
    }

    /// Reports this dispatcher's low threads to the aggregators, and, as one of them, sends all the sum.
    pub(super) fn exchange_load(&mut self, out: &mut dyn DecisionSink) {
        if !self.settings.capabilities.peer_messages || self.settings.dispatchers < 2.0 {
            return;
        }
        let is_stale = self.now_ms - self.peer_load.reported_ms > REPORT_INTERVAL_MS;
        if self.peer_load.is_changed || is_stale && self.has_low_attempts() {
            self.send_report(AGGREGATORS, out);
        }
        let is_aggregator = self.settings.dispatcher_index < AGGREGATORS;
        if is_aggregator && self.now_ms - self.peer_load.sum_sent_ms > SUM_INTERVAL_MS {
            self.send_sum(self.now_ms - REPORT_COUNTS_MS, out);
        }
    }

    /// A message from another dispatcher came in; one of an unknown kind or sender is ignored.
    pub fn on_peer_message(&mut self, message: &PeerMessage) {
        let is_aggregator = self.settings.dispatcher_index < AGGREGATORS;
        let is_known = f64::from(message.peer) < self.settings.dispatchers;
        match message.content.first() {
            Some(&peer_codec::OWN_LOAD) if is_known => self.store_report(message),
            Some(&peer_codec::TOTAL_LOAD) if !is_aggregator => self.apply_sum(message),
            _ => {}
        }
    }
}
