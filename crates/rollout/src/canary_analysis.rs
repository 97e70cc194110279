//! Canary analysis: tests whether released dispatchers perform worse than the others. It pairs the success rates of
//! both groups by time window and zone, and applies a one-sided paired t test.

use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// Maximum number of pairs that are kept for one release; older pairs are dropped.
const MAX_PAIRS: usize = 240;
/// Maximum number of open windows, summed over all zones.
const MAX_OPEN_WINDOWS: usize = 256;
/// Minimum number of pairs for a t test, regardless of the configuration.
const MIN_TEST_PAIRS: usize = 3;
/// Minimum standard error. Pairs without any failure have zero variance, and success rates have no finer resolution
/// than this.
const MIN_STANDARD_ERROR: f64 = 1e-3;

/// Configuration of the canary analysis.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnalysisConfig {
    /// Length of a window (ms). Success rates are compared within one window only.
    pub window_ms: f64,
    /// Significance level: probability of a false alarm over all evaluations of a release.
    pub significance: f64,
    /// Minimum drop of the success rate that counts as worse.
    pub min_difference: f64,
    /// Minimum number of pairs; with fewer the analysis is inconclusive.
    pub min_pairs: usize,
    /// Minimum number of requests of each group in a pair.
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

/// Number of requests of one dispatcher or group.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RequestCount {
    /// Number of requests that succeeded.
    pub succeeded: u32,
    /// Number of all requests.
    pub total: u32,
}

impl RequestCount {
    /// Adds the requests of one dispatcher. A malformed count, with more successes than requests, is ignored.
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

/// A group of dispatchers that is compared with the other group.
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
    /// There are too few pairs for a test.
    Inconclusive {
        /// Number of pairs.
        pairs: usize,
    },
    /// The released dispatchers are not significantly worse.
    NotWorse {
        /// Number of pairs.
        pairs: usize,
        /// Mean difference of the success rate, negative if the released dispatchers perform worse.
        mean_difference: f64,
    },
    /// The released dispatchers are significantly worse.
    Worse {
        /// Number of pairs.
        pairs: usize,
        /// Mean difference of the success rate, negative.
        mean_difference: f64,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    baseline: RequestCount,
    released: RequestCount,
}

/// The canary analysis of one release.
#[derive(Debug, Clone, Default)]
pub struct CanaryAnalysis {
    /// Open windows, by window number and zone.
    open_windows: BTreeMap<(u64, u32), Window>,
    /// Difference of the success rate in each pair, the oldest first.
    differences: Vec<f64>,
    /// Number of evaluations that had enough pairs, at least one of them new.
    evaluations: u32,
    /// Number of pairs at the last of these evaluations.
    evaluated_pairs: usize,
}

impl CanaryAnalysis {
    /// Adds a dispatcher's requests to a window. Requests of a new window are ignored while too many windows are open.
    pub fn report(&mut self, window: u64, zone: u32, group: Group, requests: RequestCount) {
        let key = (window, zone);
        if self.open_windows.len() >= MAX_OPEN_WINDOWS && !self.open_windows.contains_key(&key) {
            return;
        }
        let counts = self.open_windows.entry(key).or_default();
        match group {
            Group::Baseline => counts.baseline.add(requests),
            Group::Released => counts.released.add(requests),
        }
    }

    /// Closes the windows before `window` and evaluates all pairs.
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
        let still_open = self.open_windows.split_off(&(window, 0));
        let closed = std::mem::replace(&mut self.open_windows, still_open);
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

struct TTestResult {
    mean: f64,
    p_value: f64,
}

/// One-sided paired t test (Student, "The probable error of a mean", 1908): returns the mean of the
/// differences, and the probability of a mean at least as low if the true difference is zero.
fn paired_t_test(differences: &[f64]) -> TTestResult {
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares = differences
        .iter()
        .map(|difference| (difference - mean).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0);
    let standard_error = (variance / count).sqrt().max(MIN_STANDARD_ERROR);
    let p_value = StudentsT::new(0.0, 1.0, count - 1.0)
        .map_or(1.0, |distribution| distribution.cdf(mean / standard_error));
    TTestResult { mean, p_value }
}

#[cfg(test)]
mod tests;
