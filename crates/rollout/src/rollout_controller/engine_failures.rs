//! Dispatchers' reports of failing engines, as evidence for an ejection.

use super::fleet_state::REPORT_RETENTION_MS;
use std::collections::BTreeMap;
use tansymux_coordination::Id;

/// Time of each dispatcher's last report that an engine fails (ms), by engine and dispatcher.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineFailures {
    reported_ms: BTreeMap<Id, BTreeMap<Id, f64>>,
}

impl EngineFailures {
    /// Records that a dispatcher reported an engine as failing.
    pub(super) fn record(&mut self, engine: Id, witness: Id, now_ms: f64) {
        let witnesses = self.reported_ms.entry(engine).or_default();
        witnesses.insert(witness, now_ms);
    }

    /// Returns the engines that at least `min_witnesses` dispatchers reported within [`REPORT_RETENTION_MS`].
    pub(super) fn failing_engines(&mut self, min_witnesses: usize, now_ms: f64) -> Vec<Id> {
        for witnesses in self.reported_ms.values_mut() {
            witnesses.retain(|_, reported_ms| now_ms - *reported_ms < REPORT_RETENTION_MS);
        }
        self.reported_ms
            .retain(|_, witnesses| !witnesses.is_empty());
        self.reported_ms
            .iter()
            .filter(|(_, witnesses)| witnesses.len() >= min_witnesses)
            .map(|(engine, _)| *engine)
            .collect()
    }

    /// Drops the reports about an engine.
    pub(super) fn remove(&mut self, engine: Id) {
        self.reported_ms.remove(&engine);
    }

    /// Drops all reports.
    pub(super) fn clear(&mut self) {
        self.reported_ms.clear();
    }
}
