//! What came of a run: samples, figures and violations. Outcomes are written as JSON, whose keys must stay.

use super::Simulation;
use crate::schema::{Class, Cold};
use serde::Serialize;
use tansymux_testbed::invariants::{
    find_violations, ClassRules, Effect, Rules, Violation, WarmUpRule,
};

/// Full service: over this many samples in a row, at least this fraction of the value served before the faults.
const FULL_SERVICE_SAMPLES: usize = 8;
const FULL_SERVICE_FRACTION: f64 = 0.95;

/// Value of answers, and what it could have been.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Value {
    pub got: f64,
    pub max: f64,
}

/// A quarter of a second.
#[derive(Debug, Clone, Serialize, Default)]
pub struct Sample {
    /// Seconds since the run's begin.
    #[serde(rename = "at")]
    pub at_s: f64,
    /// Value of answers.
    pub value: f64,
    /// Value if all queries that came had been answered in time.
    #[serde(rename = "most")]
    pub max_value: f64,
    /// Rejections.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Threads by zone.
    pub threads: Vec<f64>,
    /// Threads of the low lane that come from other zones, by zone.
    pub spilled: Vec<f64>,
}

/// What came of a run.
#[derive(Debug, Clone, Serialize, Default)]
pub struct Outcomes {
    /// The seed that plays it again.
    pub seed: u64,
    /// The name of the variant.
    #[serde(rename = "arm")]
    pub variant: String,
    /// Queries asked.
    pub asked: u64,
    /// Answers in time.
    pub in_time: u64,
    /// Answers that came late.
    pub late: u64,
    /// Rejections.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Final errors.
    #[serde(rename = "killed")]
    pub failed: u64,
    /// Value as a fraction of what it could have been, by phase: before the first fault, during faults, a minute after,
    /// later.
    pub value: [f64; 4],
    /// The 99th percentile of the latencies of fast queries (ms).
    #[serde(rename = "p99_fast")]
    pub fast_p99_ms: u64,
    /// Most spilled threads as a fraction of the limit, where there is one.
    #[serde(rename = "spill")]
    pub max_spill: f64,
    /// Most work sent to an engine that warms up, as a fraction of what makes it fall.
    #[serde(rename = "cold")]
    pub max_cold_load: f64,
    /// How often an engine fell.
    #[serde(rename = "fell")]
    pub engines_fallen: u64,
    /// From the end of the last fault to full service (ms), if it came.
    #[serde(rename = "full_after")]
    pub full_service_after_ms: Option<f64>,
    /// How many violations of the rules the checker found.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// The first of them.
    #[serde(rename = "first_broken")]
    pub first_violation: Option<String>,
    /// Virtual seconds played in a real one.
    #[serde(rename = "pace")]
    pub virtual_s_per_s: f64,
    /// Samples, in the order of their times.
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

impl Simulation<'_> {
    pub(super) fn take_sample(&mut self) {
        let mut threads = vec![0.0; self.zones.len()];
        for (engine, zone) in self.engines.iter().zip(&self.engine_zones) {
            threads[*zone] += engine.threads();
        }
        let mut spilled = vec![0.0; self.zones.len()];
        for dispatcher in &self.dispatchers {
            for (n, zone) in self.zones.iter().enumerate() {
                spilled[n] += dispatcher.control.spilled_threads(zone);
            }
        }
        self.note_spill(&spilled);
        let sample = std::mem::take(&mut self.sample);
        self.outcomes.samples.push(Sample {
            at_s: self.now_ms / 1000.0,
            threads,
            spilled,
            ..sample
        });
    }

    /// Takes down how near spilled threads come to the limit of each zone.
    fn note_spill(&mut self, spilled: &[f64]) {
        let Some(zone_health) = &self.dispatchers[0].zone_health else {
            return;
        };
        for (n, zone) in self.zones.iter().enumerate() {
            let limit = zone_health.config().spill_limit(zone, None) * self.zone_cores(n);
            if limit.is_finite() && limit > 0.0 {
                self.outcomes.max_spill = self.outcomes.max_spill.max(spilled[n] / limit);
            }
        }
    }

    fn zone_cores(&self, zone: usize) -> f64 {
        self.engines
            .iter()
            .zip(&self.engine_zones)
            .filter(|(_, engine_zone)| **engine_zone == zone)
            .map(|(engine, _)| engine.cores)
            .sum()
    }

    /// The outcomes, with what follows from the whole run. `real_s`: how long it took to play.
    pub(super) fn finish(mut self, real_s: f64) -> Outcomes {
        self.outcomes.virtual_s_per_s = self.experiment.seconds() / real_s.max(1e-9);
        self.outcomes.fast_p99_ms = self.fast_latencies_ms.value_at_quantile(0.99);
        self.outcomes.value = self.values.map(|value| {
            if value.max > 0.0 {
                value.got / value.max
            } else {
                f64::NAN
            }
        });
        self.outcomes.full_service_after_ms = self.full_service_after_ms();
        if let Some(record) = self.record.take() {
            let violations = find_violations(&record, &self.rules());
            self.outcomes.violations = violations.len();
            self.outcomes.first_violation = violations.first().map(Violation::to_string);
        }
        self.outcomes
    }

    /// From the end of the last fault to the first samples with full service.
    fn full_service_after_ms(&self) -> Option<f64> {
        let faults = &self.experiment.fault;
        let last_s = faults
            .iter()
            .map(|fault| fault.ends_s())
            .fold(0.0, f64::max);
        let samples = &self.outcomes.samples;
        let fractions: Vec<f64> = samples
            .iter()
            .map(|sample| sample.value / sample.max_value.max(1e-9))
            .collect();
        let before = self.outcomes.value[0];
        let is_full = |n: usize| {
            let window = fractions[n..].iter().take(FULL_SERVICE_SAMPLES);
            window.sum::<f64>() / FULL_SERVICE_SAMPLES as f64 >= FULL_SERVICE_FRACTION * before
        };
        (0..samples.len().saturating_sub(FULL_SERVICE_SAMPLES))
            .find(|n| samples[*n].at_s >= last_s && is_full(*n))
            .map(|n| (samples[n].at_s - last_s) * 1000.0)
            .filter(|_| before.is_finite() && last_s > 0.0)
    }

    fn rules(&self) -> Rules {
        let cold = self.experiment.cold.unwrap_or_default();
        Rules {
            slack_ms: 50.0,
            late_answer_ms: 0.0,
            grace_ms: 1000.0,
            warm_up: Some(warm_up_rule(&cold)),
            cooldown_ms: 0.0,
            retry_budget: None,
            classes: self
                .experiment
                .class
                .iter()
                .map(|class| (class.name().to_owned(), class_rules(class)))
                .collect(),
        }
    }
}

fn warm_up_rule(cold: &Cold) -> WarmUpRule {
    WarmUpRule {
        multiple: cold.multiple(),
        initial_fraction: cold.from(),
        span_ms: cold.span_ms(),
        warm_after_ms: cold.warm_s() * 1000.0,
    }
}

fn class_rules(class: &Class) -> ClassRules {
    let effect = if class.changes() {
        Effect::NonIdempotent
    } else {
        Effect::ReadOnly
    };
    ClassRules {
        zones: class.bound_to.clone().map(|zone| vec![zone]),
        ..ClassRules::of(effect)
    }
}
