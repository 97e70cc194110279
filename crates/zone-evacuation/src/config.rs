//! Settings of evacuations and returns.

/// Settings of evacuations and returns; times in milliseconds. Ranges are checked where the operators' file is read.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Fraction of the witnesses outside a zone that must have lost it.
    pub lost_fraction: f64,
    /// How long the evidence must have said the same.
    pub confirm_ms: f64,
    /// Fraction of the members outside a zone that must know about it.
    pub min_witness_fraction: f64,
    /// Fraction of all cores that the controller evacuates by itself; more, and a second zone, need an operator.
    pub max_evacuated_fraction: f64,
    /// Fraction of the remaining zones' full use that the work of an evacuated zone may take.
    pub spill_capacity_fraction: f64,
    /// Fraction of full use that a return begins with.
    pub initial_ramp_fraction: f64,
    /// Threads per core at full use.
    pub full_threads_per_core: f64,
    /// Steps of a return.
    pub ramp_steps: u8,
    /// Length of a step.
    pub ramp_step_ms: f64,
    /// How long a zone stays evacuated at least; doubled each time it is evacuated again within `flap_window_ms`.
    pub min_evacuation_ms: f64,
    /// Upper limit of the doubled `min_evacuation_ms`.
    pub max_evacuation_ms: f64,
    /// Two evacuations within this time count as flapping.
    pub flap_window_ms: f64,
    /// How long a quota may be used.
    pub quota_term_ms: f64,
    /// A member that does not hear the leader follows its last decisions for this long, then its own judgement.
    pub autonomy_after_ms: f64,
    /// Largest relative difference between the rates of two clocks.
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
    /// The fraction of full use that a step of a return allows, from step 0.
    pub fn ramp_fraction(&self, step: u8) -> f64 {
        let progress = f64::from(step.min(self.ramp_steps)) / f64::from(self.ramp_steps.max(1));
        self.initial_ramp_fraction + (1.0 - self.initial_ramp_fraction) * progress
    }
}
