//! Lifeguard's local health multiplier.

/// Maximum of the multiplier. Timeouts are extended to at most nine times their normal length.
const MAX_MULTIPLIER: u32 = 8;

/// The local health multiplier; 0 means healthy. It increases when probes fail, when this member has to refute a
/// suspicion, and after a pause of the process. It decreases with each probe acknowledged directly.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LocalHealth {
    multiplier: u32,
}

impl LocalHealth {
    pub(super) fn multiplier(self) -> u32 {
        self.multiplier
    }

    /// Returns the factor by which timeouts are extended.
    pub(super) fn timeout_factor(self) -> f64 {
        1.0 + f64::from(self.multiplier)
    }

    /// Records evidence that this member is slow.
    pub(super) fn degrade(&mut self, penalty: u32) {
        self.multiplier = (self.multiplier + penalty).min(MAX_MULTIPLIER);
    }

    /// Records that a probe was acknowledged directly by its target.
    pub(super) fn improve(&mut self) {
        self.multiplier = self.multiplier.saturating_sub(1);
    }
}
