//! A member's reports about zones: their content, their schedule, and the reports whose answers are outstanding.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use tansymux_zone_evacuation::{Evidence, MemberReport, MAX_ZONES};

/// Mean interval between two reports to the leader (ms).
const REPORT_INTERVAL_MS: f64 = 700.0;
/// Width of the jitter range of the report interval, as a fraction of the mean interval.
const REPORT_JITTER: f64 = 0.2;
/// Maximum number of reports whose answers are outstanding; beyond it the oldest report is dropped.
const MAX_OUTSTANDING_REPORTS: usize = 32;

/// A report whose answer is outstanding.
#[derive(Debug, Clone, Copy)]
struct OutstandingReport {
    number: u32,
    sent_ms: f64,
}

/// Produces one member's reports about zones.
#[derive(Debug, Clone)]
pub(super) struct ZoneReporter {
    evidence: Vec<Evidence>,
    is_isolated: bool,
    session: u32,
    next_report_ms: f64,
    last_report_number: u32,
    outstanding: VecDeque<OutstandingReport>,
    rng: Pcg32,
}

impl ZoneReporter {
    pub(super) fn new(session: u32, seed: u64) -> Self {
        ZoneReporter {
            evidence: Vec::new(),
            is_isolated: false,
            session,
            next_report_ms: f64::NEG_INFINITY,
            last_report_number: 0,
            outstanding: VecDeque::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Replaces the content of the next reports.
    pub(super) fn set_evidence(&mut self, evidence: Vec<Evidence>, is_isolated: bool) {
        self.evidence = evidence;
        self.is_isolated = is_isolated;
        self.evidence.truncate(MAX_ZONES);
    }

    /// Returns the report that is due; `None`: nothing is due before [`ZoneReporter::next_report_ms`].
    pub(super) fn poll(&mut self, now_ms: f64) -> Option<MemberReport> {
        if now_ms < self.next_report_ms {
            return None;
        }
        let jitter_factor = 1.0 - REPORT_JITTER / 2.0 + REPORT_JITTER * self.rng.random::<f64>();
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS * jitter_factor;
        self.last_report_number = self.last_report_number.wrapping_add(1);
        self.outstanding.push_back(OutstandingReport {
            number: self.last_report_number,
            sent_ms: now_ms,
        });
        if self.outstanding.len() > MAX_OUTSTANDING_REPORTS {
            self.outstanding.pop_front();
        }
        Some(MemberReport {
            session: self.session,
            sequence_number: self.last_report_number,
            is_isolated: self.is_isolated,
            zones: self.evidence.clone(),
        })
    }

    /// When the next report is due (ms).
    pub(super) fn next_report_ms(&self) -> f64 {
        self.next_report_ms
    }

    /// Returns when the report with this number was sent (ms), if its answer is outstanding. Marks the report as
    /// answered.
    pub(super) fn take_sent_ms(&mut self, number: u32) -> Option<f64> {
        let position = self
            .outstanding
            .iter()
            .position(|report| report.number == number)?;
        self.outstanding
            .remove(position)
            .map(|report| report.sent_ms)
    }
}
