//! Trust in the observations of each origin, by how many of them this dispatcher confirmed or refuted.

use std::collections::BTreeMap;

/// Trust in an origin of which no observation was verified.
const INITIAL_TRUST: f64 = 0.7;
/// Weight of the initial trust, as a number of verifications.
const INITIAL_WEIGHT: f64 = 3.0;
/// Weight of a refutation, as a number of confirmations.
const REFUTATION_WEIGHT: f64 = 4.0;
/// Maximum number of origins; beyond it the origins with the lowest ids are dropped.
const MAX_TRACKED_ORIGINS: usize = 2048;

/// The result of comparing an observation of another dispatcher with this dispatcher's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verification {
    /// Both dispatchers observed the same.
    Confirmed,
    /// This dispatcher observed otherwise.
    Refuted,
}

#[derive(Debug, Clone, Copy, Default)]
struct VerificationCounts {
    confirmed: f64,
    refuted: f64,
}

/// Counts of confirmed and refuted observations by origin.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrustTable {
    counts: BTreeMap<u64, VerificationCounts>,
}

impl TrustTable {
    /// Counts a verification of an origin.
    pub fn record(&mut self, origin_id: u64, verification: Verification) {
        let counts = self.counts.entry(origin_id).or_default();
        match verification {
            Verification::Confirmed => counts.confirmed += 1.0,
            Verification::Refuted => counts.refuted += 1.0,
        }
        while self.counts.len() > MAX_TRACKED_ORIGINS {
            self.counts.pop_first();
        }
    }

    /// Returns the trust in an origin, from 0 to 1.
    pub fn trust(&self, origin_id: u64) -> f64 {
        let VerificationCounts { confirmed, refuted } =
            self.counts.get(&origin_id).copied().unwrap_or_default();
        (INITIAL_WEIGHT * INITIAL_TRUST + confirmed)
            / (INITIAL_WEIGHT + confirmed + REFUTATION_WEIGHT * refuted)
    }
}
