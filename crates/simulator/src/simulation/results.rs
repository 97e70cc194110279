//! The results of a run: samples, figures and violations. Outcomes are written as JSON, whose keys must stay.

use crate::schema::{Class, Cold, Experiment};
use hdrhistogram::Histogram;
use serde::Serialize;
use tansymux_testbed::invariants::{
    find_violations, ClassRules, Effect, Rules, Violation, WarmUpRule,
};
use tansymux_testbed::record::Entry;

/// Number of consecutive samples over which full service is determined.
const FULL_SERVICE_SAMPLES: usize = 8;
/// Full service is at least this fraction of the value served before the faults.
const FULL_SERVICE_FRACTION: f64 = 0.95;
/// An answer in time has this many times the value of a late one.
const LATE_VALUE_DIVISOR: f64 = 3.0;
/// Phases of a run: before the first fault, during faults, a minute after the last one, later.
const PHASES: usize = 4;

/// The value of answers, and its maximum.
#[derive(Debug, Clone, Copy, Default)]
struct Value {
    got: f64,
    max: f64,
}

/// The state of a run at one moment, with the counts since the sample before.
#[derive(Debug, Clone, Serialize, Default)]
pub struct Sample {
    /// Seconds since the run's begin.
    #[serde(rename = "at")]
    pub at_s: f64,
    /// Value of answers.
    pub value: f64,
    /// Value if all queries that arrived had been answered in time.
    #[serde(rename = "most")]
    pub max_value: f64,
    /// Rejections.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Threads by zone.
    pub threads: Vec<f64>,
    /// Threads of the low lane from other zones, by zone.
    pub spilled: Vec<f64>,
}

/// The results of a run.
#[derive(Debug, Clone, Serialize, Default)]
pub struct Outcomes {
    /// The seed that reproduces the run.
    pub seed: u64,
    /// The name of the variant.
    #[serde(rename = "arm")]
    pub variant: String,
    /// Queries sent.
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
    /// Value as a fraction of its maximum, by phase: before the first fault, during faults, a minute after, later.
    pub value: [f64; PHASES],
    /// The 99th percentile of the latencies of fast queries (ms).
    #[serde(rename = "p99_fast")]
    pub fast_p99_ms: u64,
    /// The most spilled threads as a fraction of the limit, where there is one.
    #[serde(rename = "spill")]
    pub max_spill: f64,
    /// The most work sent to an engine that warms up, as a fraction of what it sustains.
    #[serde(rename = "cold")]
    pub max_cold_load: f64,
    /// How often an engine failed under its load.
    #[serde(rename = "fell")]
    pub engines_fallen: u64,
    /// Time from the end of the last fault to full service (ms), if it was reached.
    #[serde(rename = "full_after")]
    pub full_service_after_ms: Option<f64>,
    /// Number of violations of the rules.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// The first violation.
    #[serde(rename = "first_broken")]
    pub first_violation: Option<String>,
    /// Virtual seconds simulated in a real second.
    #[serde(rename = "pace")]
    pub virtual_s_per_s: f64,
    /// Samples, in the order of their times.
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

/// Accumulates the results of a run.
pub(super) struct Results {
    outcomes: Outcomes,
    fast_latencies_ms: Histogram<u64>,
    /// The counts since the last sample.
    sample: Sample,
    values: [Value; PHASES],
}

impl Results {
    /// No results yet of a variant's run.
    pub fn new(variant: &str, seed: u64) -> Self {
        Results {
            outcomes: Outcomes {
                seed,
                variant: variant.to_owned(),
                ..Outcomes::default()
            },
            fast_latencies_ms: Histogram::new_with_bounds(1, 600_000, 3).expect("bounds in order"),
            sample: Sample::default(),
            values: [Value::default(); PHASES],
        }
    }

    /// A query of a class arrived.
    pub fn record_query(&mut self, class: &Class, phase: usize) {
        self.outcomes.asked += 1;
        self.values[phase].max += class.worth();
        self.sample.max_value += class.worth();
    }

    /// A query of a class got its answer.
    pub fn record_answer(&mut self, class: &Class, status: u16, latency_ms: f64, phase: usize) {
        match status {
            200 if latency_ms <= class.target_ms() => self.outcomes.in_time += 1,
            200 => self.outcomes.late += 1,
            429 => {
                self.outcomes.rejected += 1;
                self.sample.rejected += 1;
            }
            _ => self.outcomes.failed += 1,
        }
        if status != 200 {
            return;
        }
        let value = value_of(class, latency_ms);
        self.values[phase].got += value;
        self.sample.value += value;
        let is_fast = class.threads() <= 1.0 && !class.changes();
        if is_fast {
            let _ = self.fast_latencies_ms.record(latency_ms.max(1.0) as u64);
        }
    }

    /// Work reached an engine that warms up: a fraction of what it sustains.
    pub fn record_cold_load(&mut self, fraction: f64) {
        self.outcomes.max_cold_load = self.outcomes.max_cold_load.max(fraction);
    }

    /// An engine failed under its load.
    pub fn record_engine_failure(&mut self) {
        self.outcomes.engines_fallen += 1;
    }

    /// Threads spilled into a zone: a fraction of the limit.
    pub fn record_spill(&mut self, fraction: f64) {
        self.outcomes.max_spill = self.outcomes.max_spill.max(fraction);
    }

    /// Adds a sample with the counts since the last one. `threads` and `spilled` are by zone.
    pub fn take_sample(&mut self, now_ms: f64, threads: Vec<f64>, spilled: Vec<f64>) {
        let sample = std::mem::take(&mut self.sample);
        self.outcomes.samples.push(Sample {
            at_s: now_ms / 1000.0,
            threads,
            spilled,
            ..sample
        });
    }

    /// The outcomes, with the figures over all queries. `real_s`: how long the simulation took.
    pub fn finish(
        mut self,
        experiment: &Experiment,
        record: Option<Vec<Entry>>,
        real_s: f64,
    ) -> Outcomes {
        self.outcomes.virtual_s_per_s = experiment.seconds() / real_s.max(1e-9);
        self.outcomes.fast_p99_ms = self.fast_latencies_ms.value_at_quantile(0.99);
        self.outcomes.value = self.values.map(|value| {
            if value.max > 0.0 {
                value.got / value.max
            } else {
                f64::NAN
            }
        });
        self.outcomes.full_service_after_ms = self.full_service_after_ms(experiment);
        if let Some(record) = record {
            let violations = find_violations(&record, &rules(experiment));
            self.outcomes.violations = violations.len();
            self.outcomes.first_violation = violations.first().map(Violation::to_string);
        }
        self.outcomes
    }

    /// Time from the end of the last fault to the first samples with full service.
    fn full_service_after_ms(&self, experiment: &Experiment) -> Option<f64> {
        let last_s = experiment
            .fault
            .iter()
            .map(|fault| fault.ends_s())
            .fold(0.0, f64::max);
        let samples = &self.outcomes.samples;
        let fractions: Vec<f64> = samples
            .iter()
            .map(|sample| sample.value / sample.max_value.max(1e-9))
            .collect();
        let before = self.outcomes.value[0];
        let is_full = |first: usize| {
            let window = fractions[first..].iter().take(FULL_SERVICE_SAMPLES);
            window.sum::<f64>() / FULL_SERVICE_SAMPLES as f64 >= FULL_SERVICE_FRACTION * before
        };
        (0..samples.len().saturating_sub(FULL_SERVICE_SAMPLES))
            .find(|first| samples[*first].at_s >= last_s && is_full(*first))
            .map(|first| (samples[first].at_s - last_s) * 1000.0)
            .filter(|_| before.is_finite() && last_s > 0.0)
    }
}

/// The value of an answer: all of the class's worth in time, a third of it later.
fn value_of(class: &Class, latency_ms: f64) -> f64 {
    if latency_ms <= class.target_ms() {
        class.worth()
    } else {
        class.worth() / LATE_VALUE_DIVISOR
    }
}

/// The rules that the checker applies to an experiment's runs.
fn rules(experiment: &Experiment) -> Rules {
    let cold = experiment.cold.unwrap_or_default();
    let classes = experiment
        .class
        .iter()
        .map(|class| (class.name().to_owned(), class_rules(class)));
    Rules {
        warm_up: Some(warm_up_rule(&cold)),
        ..Rules::for_classes(classes)
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
        ..ClassRules::for_effect(effect)
    }
}
