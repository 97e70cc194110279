//! Canary analysis: whether released dispatchers perform worse than the others. It compares success rates in pairs of the
//! same time window and zone, by a one-sided t test.

use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// Limit on the pairs of one release.
const MAX_PAIRS: usize = 240;
/// Limit on the open windows, over all zones.
const MAX_OPEN_WINDOWS: usize = 256;
/// Minimum number of pairs for a t test, whatever is configured.
const MIN_TEST_PAIRS: usize = 3;
/// Minimum standard error: windows without any failure on both sides have no variance, and a success rate has no finer
/// resolution than this.
const MIN_STANDARD_ERROR: f64 = 1e-3;

/// Settings of the comparison.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnalysisConfig {
    /// Length of a window (ms): reports of one window are compared with each other.
    pub window_ms: f64,
    /// Significance level: probability of a false alarm over all evaluations of a release.
    pub significance: f64,
    /// Minimum difference of the success rate that counts.
    pub min_difference: f64,
    /// Minimum number of pairs; with fewer the analysis is inconclusive.
    pub min_pairs: usize,
    /// Minimum number of requests on each side of a pair.
    pub min_requests: u32,
}

impl Default for AnalysisConfig {
    fn default() -> Self {
        AnalysisConfig {
            window_ms: 2000.0,
            significance: 0.01,
            min_difference: 0.02,
            min_pairs: 5,
            min_requests: 5,
        }
    }
}

/// Requests of one side in a window.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RequestCount {
    /// Requests that succeeded.
    pub succeeded: u32,
    /// All requests.
    pub total: u32,
}

impl RequestCount {
    /// Adds the requests of one dispatcher. A malformed report, with more successes than requests, is left out.
    pub fn add(&mut self, other: RequestCount) {
        if other.succeeded <= other.total {
            self.succeeded = self.succeeded.saturating_add(other.succeeded);
            self.total = self.total.saturating_add(other.total);
        }
    }

    fn success_rate(&self) -> f64 {
        f64::from(self.succeeded) / f64::from(self.total.max(1))
    }
}

/// A side of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Dispatchers that have not been released.
    Baseline,
    /// Dispatchers that have been released.
    Released,
}

/// Result of an evaluation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnalysisResult {
    /// There are too few pairs.
    Inconclusive {
        /// Number of pairs.
        pairs: usize,
    },
    /// Not significantly worse.
    NotWorse {
        /// Number of pairs.
        pairs: usize,
        /// Mean difference of the success rate, below 0 where the released dispatchers perform worse.
        mean_difference: f64,
    },
    /// Significantly worse.
    Worse {
        /// Number of pairs.
        pairs: usize,
        /// Mean difference of the success rate, below 0.
        mean_difference: f64,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    baseline: RequestCount,
    released: RequestCount,
}

/// The comparison of one release.
#[derive(Debug, Clone, Default)]
pub struct CanaryAnalysis {
    /// Windows that are not closed, by their number and zone.
    open: BTreeMap<(u64, u32), Window>,
    differences: Vec<f64>,
    /// Number of evaluations that had enough pairs, and new ones among them.
    evaluations: u32,
    /// Number of pairs at the last of these evaluations.
    evaluated_pairs: usize,
}

impl CanaryAnalysis {
    /// Adds the requests of a dispatcher in a window.
    pub fn report(&mut self, window: u64, zone: u32, group: Group, requests: RequestCount) {
        let key = (window, zone);
        if self.open.len() >= MAX_OPEN_WINDOWS && !self.open.contains_key(&key) {
            return;
        }
        let counts = self.open.entry(key).or_default();
        match group {
            Group::Baseline => counts.baseline.add(requests),
            Group::Released => counts.released.add(requests),
        }
    }

    /// Closes the windows before this one, and evaluates the pairs.
    ///
    /// The n-th evaluation with new pairs spends 1/(n(n+1)) of the significance. These fractions add up to one, so that
    /// frequent evaluation does not raise the probability of a false alarm.
    pub fn evaluate(&mut self, config: &AnalysisConfig, window: u64) -> AnalysisResult {
        self.close_windows_before(window, config.min_requests);
        let pairs = self.differences.len();
        if pairs < config.min_pairs.max(MIN_TEST_PAIRS) {
            return AnalysisResult::Inconclusive { pairs };
        }
        if pairs > self.evaluated_pairs {
            self.evaluations += 1;
            self.evaluated_pairs = pairs;
        }
        let evaluation = f64::from(self.evaluations.max(1));
        let significance = config.significance / (evaluation * (evaluation + 1.0));
        let test = paired_t_test(&self.differences);
        let mean_difference = test.mean;
        if mean_difference <= -config.min_difference && test.p_value < significance {
            AnalysisResult::Worse {
                pairs,
                mean_difference,
            }
        } else {
            AnalysisResult::NotWorse {
                pairs,
                mean_difference,
            }
        }
    }

    fn close_windows_before(&mut self, window: u64, min_requests: u32) {
        let still_open = self.open.split_off(&(window, 0));
        let closed = std::mem::replace(&mut self.open, still_open);
        for counts in closed.values() {
            if counts.baseline.total >= min_requests && counts.released.total >= min_requests {
                let difference = counts.released.success_rate() - counts.baseline.success_rate();
                self.differences.push(difference);
            }
        }
        let surplus = self.differences.len().saturating_sub(MAX_PAIRS);
        self.differences.drain(..surplus);
    }
}

struct TestResult {
    mean: f64,
    p_value: f64,
}

/// One-sided paired t test (Student, "The probable error of a mean", 1908): the mean of the differences, and the
/// probability of a mean as low if the true difference is zero.
fn paired_t_test(differences: &[f64]) -> TestResult {
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares = differences
        .iter()
        .map(|difference| (difference - mean).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0);
    let standard_error = (variance / count).sqrt().max(MIN_STANDARD_ERROR);
    let p_value = StudentsT::new(0.0, 1.0, count - 1.0)
        .map_or(1.0, |distribution| distribution.cdf(mean / standard_error));
    TestResult { mean, p_value }
}

#[cfg(test)]
mod tests;
