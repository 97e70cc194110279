//! The results of a run: samples, figures and violations. Outcomes are written as JSON with fixed keys.

use crate::schema::{Class, Cold, Experiment};
use hdrhistogram::Histogram;
use serde::Serialize;
use tansymux_testbed::invariants::{
    find_violations, ClassRules, Effect, Rules, Violation, WarmUpRule,
};
use tansymux_testbed::record::Entry;

/// Number of consecutive samples over which the value is averaged to determine full service.
const FULL_SERVICE_SAMPLES: usize = 8;
/// Full service: the value is at least this fraction of the value before the faults.
const FULL_SERVICE_FRACTION: f64 = 0.95;
/// Ratio of the value of an answer in time to the value of a late answer.
const LATE_VALUE_DIVISOR: f64 = 3.0;
/// Number of phases of a run: before the first fault, during faults, the minute after the last fault, later.
const PHASES: usize = 4;

/// The value of the answers, and its maximum.
#[derive(Debug, Clone, Copy, Default)]
struct Value {
    achieved: f64,
    max: f64,
}

/// The state of a run at a point in time, with the counts since the previous sample.
#[derive(Debug, Clone, Serialize, Default)]
pub struct Sample {
    /// Time since the beginning of the run (s).
    #[serde(rename = "at")]
    pub at_s: f64,
    /// Value of the answers.
    pub value: f64,
    /// Maximum value: the value if all queries that arrived had been answered in time.
    #[serde(rename = "most")]
    pub max_value: f64,
    /// Number of rejections.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Number of running threads by zone.
    pub threads: Vec<f64>,
    /// Number of spilled low-lane threads by the zone that they run in.
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
    /// Number of queries sent.
    pub asked: u64,
    /// Number of answers in time.
    pub in_time: u64,
    /// Number of late answers.
    pub late: u64,
    /// Number of rejections.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Number of queries that failed.
    #[serde(rename = "killed")]
    pub failed: u64,
    /// Value as a fraction of its maximum, by phase: before the first fault, during faults, the minute after the last
    /// fault, later. NaN for a phase without queries.
    pub value: [f64; PHASES],
    /// The 99th percentile of the latencies of fast queries (ms).
    #[serde(rename = "p99_fast")]
    pub fast_p99_ms: u64,
    /// Maximum of the spilled threads as a fraction of the limit, over zones with a limit.
    #[serde(rename = "spill")]
    pub max_spill: f64,
    /// Maximum work sent to an engine that is warming up, as a fraction of the work that it sustains.
    #[serde(rename = "cold")]
    pub max_cold_load: f64,
    /// Number of engine failures under load.
    #[serde(rename = "fell")]
    pub engine_failures: u64,
    /// Time from the end of the last fault to full service (ms), if it was reached.
    #[serde(rename = "full_after")]
    pub full_service_after_ms: Option<f64>,
    /// Number of rule violations.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// The first violation.
    #[serde(rename = "first_broken")]
    pub first_violation: Option<String>,
    /// Virtual seconds simulated per real second.
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
    /// Counts since the last sample.
    sample: Sample,
    values: [Value; PHASES],
}

impl Results {
    /// Creates empty results for a run of a variant.
    pub fn new(variant: &str, seed: u64) -> Self {
        Results {
            outcomes: Outcomes {
                seed,
                variant: variant.to_owned(),
                ..Outcomes::default()
            },
            fast_latencies_ms: Histogram::new_with_bounds(1, 600_000, 3)
                .expect("the bounds are valid"),
            sample: Sample::default(),
            values: [Value::default(); PHASES],
        }
    }

    /// Records the arrival of a query of a class.
    pub fn record_query(&mut self, class: &Class, phase: usize) {
        self.outcomes.asked += 1;
        self.values[phase].max += class.worth();
        self.sample.max_value += class.worth();
    }

    /// Records the answer to a query of a class.
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
        self.values[phase].achieved += value;
        self.sample.value += value;
        let is_fast = class.threads() <= 1.0 && !class.changes();
        if is_fast {
            let _ = self.fast_latencies_ms.record(latency_ms.max(1.0) as u64);
        }
    }

    /// Records the load of an engine that is warming up, as a fraction of the load that it sustains.
    pub fn record_cold_load(&mut self, fraction: f64) {
        self.outcomes.max_cold_load = self.outcomes.max_cold_load.max(fraction);
    }

    /// Records the failure of an engine under its load.
    pub fn record_engine_failure(&mut self) {
        self.outcomes.engine_failures += 1;
    }

    /// Records the threads spilled into a zone, as a fraction of the limit.
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

    /// Computes the figures over all queries, checks the record if the run has one, and returns the outcomes.
    /// `elapsed_s` is the real time that the simulation took.
    pub fn finish(
        mut self,
        experiment: &Experiment,
        record: Option<Vec<Entry>>,
        elapsed_s: f64,
    ) -> Outcomes {
        self.outcomes.virtual_s_per_s = experiment.seconds() / elapsed_s.max(1e-9);
        self.outcomes.fast_p99_ms = self.fast_latencies_ms.value_at_quantile(0.99);
        self.outcomes.value = self.values.map(|value| {
            if value.max > 0.0 {
                value.achieved / value.max
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
        let last_fault_end_s = experiment
            .fault
            .iter()
            .map(|fault| fault.ends_s())
            .fold(0.0, f64::max);
        let samples = &self.outcomes.samples;
        let fractions: Vec<f64> = samples
            .iter()
            .map(|sample| sample.value / sample.max_value.max(1e-9))
            .collect();
        let value_before = self.outcomes.value[0];
        let is_full = |first: usize| {
            let window = fractions[first..].iter().take(FULL_SERVICE_SAMPLES);
            window.sum::<f64>() / FULL_SERVICE_SAMPLES as f64
                >= FULL_SERVICE_FRACTION * value_before
        };
        (0..samples.len().saturating_sub(FULL_SERVICE_SAMPLES))
            .find(|first| samples[*first].at_s >= last_fault_end_s && is_full(*first))
            .map(|first| (samples[first].at_s - last_fault_end_s) * 1000.0)
            .filter(|_| value_before.is_finite() && last_fault_end_s > 0.0)
    }
}

/// The value of an answer: the class's worth if the answer is in time, or a third of it if late.
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
