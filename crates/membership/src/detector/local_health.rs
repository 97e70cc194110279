//! Lifeguard's local health multiplier.

/// Limit on the multiplier: timeouts are up to nine times as long.
const MAX_LOCAL_HEALTH: u32 = 8;

/// The local health multiplier, from 0 (healthy). It grows with missed answers and with suspicions that this member had to
/// refute.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LocalHealth {
    multiplier: u32,
}

impl LocalHealth {
    pub(super) fn multiplier(self) -> u32 {
        self.multiplier
    }

    /// Factor on timeouts.
    pub(super) fn timeout_factor(self) -> f64 {
        1.0 + f64::from(self.multiplier)
    }

    /// Records evidence that this member is slow.
    pub(super) fn degrade(&mut self, by: u32) {
        self.multiplier = (self.multiplier + by).min(MAX_LOCAL_HEALTH);
    }

    /// Records an answer in time.
    pub(super) fn improve(&mut self) {
        self.multiplier = self.multiplier.saturating_sub(1);
    }
}
