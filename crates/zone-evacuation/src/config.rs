//! Settings of evacuations and recoveries.

/// Settings of evacuations and recoveries. Times are in milliseconds. Ranges are validated when the operators' file
/// is read.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Minimum fraction of the witnesses outside a zone that must fail to reach it for the zone to count as lost.
    pub lost_fraction: f64,
    /// Time for which the evidence must be unchanged before a decision.
    pub confirm_ms: f64,
    /// Minimum fraction of the members outside a zone that must have evidence for an assessment of the zone.
    pub min_witness_fraction: f64,
    /// Limit on the fraction of all cores that the controller evacuates. Beyond it, and for a second zone, an operator
    /// has to decide.
    pub max_evacuated_fraction: f64,
    /// Limit on the utilization of the remaining zones, as a fraction of their full use.
    pub spill_capacity_fraction: f64,
    /// First step of the recovery ramp, as a fraction of full use.
    pub initial_ramp_fraction: f64,
    /// Threads per core at full use.
    pub full_threads_per_core: f64,
    /// Number of steps of the recovery ramp.
    pub ramp_steps: u8,
    /// Duration of a ramp step.
    pub ramp_step_ms: f64,
    /// Minimum duration of an evacuation, doubled for each evacuation within `flap_window_ms` of the previous one.
    pub min_evacuation_ms: f64,
    /// Limit on `min_evacuation_ms` after doubling.
    pub max_evacuation_ms: f64,
    /// Time after the start of an evacuation within which the next evacuation counts as flapping.
    pub flap_window_ms: f64,
    /// Term of a quota.
    pub quota_term_ms: f64,
    /// Time without a message from the leader after which a member decides locally. Until then the leader's last
    /// decisions apply.
    pub autonomy_after_ms: f64,
    /// Maximum relative difference between the rates of two clocks.
    pub clock_skew: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            lost_fraction: 0.75,
            confirm_ms: 1000.0,
            min_witness_fraction: 0.3,
            max_evacuated_fraction: 0.5,
            spill_capacity_fraction: 0.8,
            initial_ramp_fraction: 0.1,
            full_threads_per_core: 2.0,
            ramp_steps: 8,
            ramp_step_ms: 2000.0,
            min_evacuation_ms: 2000.0,
            max_evacuation_ms: 300_000.0,
            flap_window_ms: 120_000.0,
            quota_term_ms: 3000.0,
            autonomy_after_ms: 30_000.0,
            clock_skew: 0.02,
        }
    }
}

impl Config {
    /// The fraction of full use at a step of the recovery ramp. Steps are counted from 0.
    pub fn ramp_fraction(&self, step: u8) -> f64 {
        let progress = f64::from(step.min(self.ramp_steps)) / f64::from(self.ramp_steps.max(1));
        self.initial_ramp_fraction + (1.0 - self.initial_ramp_fraction) * progress
    }
}
