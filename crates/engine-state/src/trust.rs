//! How far observations of other dispatchers are trusted.

use std::collections::BTreeMap;

/// Trust in an origin of which nothing was verified.
const INITIAL_TRUST: f64 = 0.7;
/// How many verifications the initial trust counts for.
const INITIAL_WEIGHT: f64 = 3.0;
/// How many confirmations one refutation outweighs.
const REFUTATION_WEIGHT: f64 = 4.0;
/// Origins of which verifications are kept.
const MAX_TRACKED_ORIGINS: usize = 2048;

/// Whether an observation of another dispatcher agreed with what this one observed itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verification {
    /// It agreed.
    Confirmed,
    /// It did not.
    Refuted,
}

#[derive(Debug, Clone, Copy, Default)]
struct VerificationCounts {
    confirmed: f64,
    refuted: f64,
}

/// Verifications of each origin.
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

    /// From 0 to 1.
    pub fn trust(&self, origin_id: u64) -> f64 {
        let VerificationCounts { confirmed, refuted } =
            self.counts.get(&origin_id).copied().unwrap_or_default();
        (INITIAL_WEIGHT * INITIAL_TRUST + confirmed)
            / (INITIAL_WEIGHT + confirmed + REFUTATION_WEIGHT * refuted)
    }
}
