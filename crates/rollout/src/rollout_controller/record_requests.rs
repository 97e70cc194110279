//! Decides when the leader requests a member's copies of the records.
//!
//! If a member's records still differ after the leader sent it all records, the member has records that the voters lost
//! by restarting one after the other. The leader restores them from the member's copies.

use std::collections::BTreeMap;
use tansymux_coordination::Id;

/// Number of consecutive reports with differing records after which a member's records are requested.
const REPORTS_UNTIL_REQUEST: u32 = 3;
/// Minimum interval between two requests (ms).
const MIN_INTERVAL_MS: f64 = 100.0;

/// Members whose records differ, and the time of the last request.
#[derive(Debug, Clone)]
pub(super) struct RecordRequests {
    /// Number of consecutive reports with differing records, by member.
    differing_reports: BTreeMap<Id, u32>,
    last_request_ms: f64,
}

impl Default for RecordRequests {
    fn default() -> Self {
        RecordRequests {
            differing_reports: BTreeMap::new(),
            last_request_ms: f64::NEG_INFINITY,
        }
    }
}

impl RecordRequests {
    /// Handles a report of a member whose records equal the leader's.
    pub(super) fn on_equal_records(&mut self, from: Id) {
        self.differing_reports.remove(&from);
    }

    /// Handles a report of a member whose records differ from the leader's, and returns whether to request them now. A
    /// new leader requests them after the first such report.
    pub(super) fn on_differing_records(
        &mut self,
        from: Id,
        is_new_leader: bool,
        now_ms: f64,
    ) -> bool {
        let count = self.differing_reports.entry(from).or_insert(0);
        *count += 1;
        let is_due = *count >= REPORTS_UNTIL_REQUEST || is_new_leader;
        if !is_due || now_ms - self.last_request_ms < MIN_INTERVAL_MS {
            return false;
        }
        self.last_request_ms = now_ms;
        true
    }

    /// Drops the counts of all members.
    pub(super) fn clear(&mut self) {
        self.differing_reports.clear();
    }
}
