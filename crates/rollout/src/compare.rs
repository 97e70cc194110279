//! Whether those that were released do worse than those that were not: of the same time and zone, pair by pair.

use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// Windows that are kept of each comparison.
const MAX_PAIRS: usize = 240;
const MAX_ZONES: usize = 64;

/// How it is told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// How long a window is (ms): what is reported in one is compared with what is reported in the same one.
    pub window: f64,
    /// How often a release is called worse by chance alone, over all its looks together.
    pub significance: f64,
    /// A difference of the part served well that is smaller than this one is none.
    pub least: f64,
    /// Pairs without which nothing is told.
    pub pairs: usize,
    /// Requests that each side of a pair needs.
    pub requests: u32,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            window: 2000.0,
            significance: 0.01,
            least: 0.02,
            pairs: 5,
            requests: 5,
        }
    }
}

/// What came of the requests of one side in a window.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tally {
    pub good: u32,
    pub all: u32,
}

impl Tally {
    pub fn add(&mut self, good: u32, all: u32) {
        // More good ones than there were: a reporter that lies or a datagram gone wrong counts for nothing.
        if good <= all {
            self.good = self.good.saturating_add(good);
            self.all = self.all.saturating_add(all);
        }
    }

    fn part(&self) -> f64 {
        f64::from(self.good) / f64::from(self.all.max(1))
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Finding {
    /// Too few pairs yet.
    CantTell {
        pairs: usize,
    },
    /// No worse, as far as can be told. `by`: mean difference, below 0 where the released serve less well.
    Even {
        pairs: usize,
        by: f64,
    },
    Worse {
        pairs: usize,
        by: f64,
    },
}

/// The pairs of one release.
#[derive(Debug, Clone, Default)]
pub struct Compare {
    /// By window and zone: those not released, and those that are.
    open: BTreeMap<(u64, u32), [Tally; 2]>,
    differences: Vec<f64>,
    /// Looks that could have told.
    looks: u32,
    /// Pairs at the last look.
    seen: usize,
}

impl Compare {
    /// A report of a dispatcher in a window: served well, and all.
    pub fn report(&mut self, window: u64, zone: u32, released: bool, good: u32, all: u32) {
        if self.open.len() >= 4 * MAX_ZONES && !self.open.contains_key(&(window, zone)) {
            return;
        }
        self.open.entry((window, zone)).or_default()[usize::from(released)].add(good, all);
    }

    /// Closes the windows before this one, and tells what can be told.
    pub fn look(&mut self, terms: &Terms, window: u64) -> Finding {
        let later = self.open.split_off(&(window, 0));
        for ((_, _), [others, released]) in std::mem::replace(&mut self.open, later) {
            if others.all >= terms.requests && released.all >= terms.requests {
                self.differences.push(released.part() - others.part());
            }
        }
        let over = self.differences.len().saturating_sub(MAX_PAIRS);
        self.differences.drain(..over);
        let pairs = self.differences.len();
        if pairs < terms.pairs.max(3) {
            return Finding::CantTell { pairs };
        }
        // Each look that brings pairs spends a part of the significance: half of it at the first, then a quarter, a sixth of
        // what was left, so that all of them together spend no more than the whole (1/(n(n+1)) adds up to 1).
        if pairs > self.seen {
            (self.looks, self.seen) = (self.looks + 1, pairs);
        }
        let look = f64::from(self.looks.max(1));
        let spent = terms.significance / (look * (look + 1.0));
        let (mean, p) = worse(&self.differences);
        match mean {
            mean if mean <= -terms.least && p < spent => Finding::Worse { pairs, by: mean },
            mean => Finding::Even { pairs, by: mean },
        }
    }
}

/// The mean of the differences, and how likely one as low is where there is none: a paired t test on one side
/// (Student, "The probable error of a mean", 1908).
fn worse(differences: &[f64]) -> (f64, f64) {
    let n = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / n;
    let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0);
    // Windows where nothing went wrong on both sides have no scatter; a served part has no finer step than this.
    let error = (variance / n).sqrt().max(1e-3);
    let p = StudentsT::new(0.0, 1.0, n - 1.0).map_or(1.0, |t| t.cdf(mean / error));
    (mean, p)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg32;

    /// One release of so many windows, with parts served by both sides and what befalls both in each window.
    fn released(seed: u64, windows: u64, parts: [f64; 2], swing: f64) -> Option<u64> {
        let (mut rng, mut compare) = (Pcg32::seed_from_u64(seed), Compare::default());
        for window in 0..windows {
            let both = swing * rng.random::<f64>();
            for (released, part) in [false, true].into_iter().zip(parts) {
                let many = 40 + rng.random_range(0..20_u32);
                let good = (0..many)
                    .filter(|_| rng.random::<f64>() < part - both)
                    .count() as u32;
                compare.report(window, 1, released, good, many);
            }
            if matches!(
                compare.look(&Terms::default(), window + 1),
                Finding::Worse { .. }
            ) {
                return Some(window);
            }
        }
        None
    }

    #[test]
    fn a_bad_release_is_found_and_a_good_one_seldom_taken_for_bad_however_bad_the_day() {
        for swing in [0.0, 0.5] {
            let found = (0..200)
                .filter(|seed| released(*seed, 60, [0.97, 0.85], swing).is_some())
                .count();
            let false_ones = (0..200)
                .filter(|seed| released(*seed, 60, [0.97, 0.97], swing).is_some())
                .count();
            assert!(found >= 190, "{found} of 200 found at a swing of {swing}");
            assert!(
                false_ones <= 8,
                "{false_ones} of 200 false at a swing of {swing}"
            );
        }
    }

    #[test]
    fn too_few_requests_tell_nothing_and_lies_count_for_nothing() {
        let mut compare = Compare::default();
        for window in 0..50 {
            compare.report(window, 1, false, 4, 4);
            compare.report(window, 1, true, 0, 4);
            compare.report(window, 1, true, 900, 4);
        }
        assert_eq!(
            compare.look(&Terms::default(), 50),
            Finding::CantTell { pairs: 0 }
        );
    }

    #[test]
    fn a_zone_that_does_badly_as_a_whole_is_no_sign_against_the_release() {
        let mut compare = Compare::default();
        for window in 0..50 {
            // Zone 1 fails for all; only there has anybody been released.
            compare.report(window, 1, false, 20, 40);
            compare.report(window, 1, true, 20, 40);
            compare.report(window, 2, false, 40, 40);
            assert!(!matches!(
                compare.look(&Terms::default(), window + 1),
                Finding::Worse { .. }
            ));
        }
    }
}
