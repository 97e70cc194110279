//! Many seeds side by side, and arms compared seed by seed.

use crate::schema::Experiment;
use crate::world::{run, Outcomes};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// All runs of an experiment, by arm and seed; the same whatever order they were played in.
pub fn all(e: &Experiment, threads: usize, quiet: bool) -> Vec<Vec<Outcomes>> {
    let seeds: Vec<u64> = (0..u64::from(e.seeds()))
        .map(|n| e.first_seed() + n)
        .collect();
    let jobs: Vec<(usize, usize)> = (0..seeds.len())
        .flat_map(|s| (0..e.arm.len()).map(move |arm| (arm, s)))
        .collect();
    let bar = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(jobs.len() as u64)
    };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some((arm, s)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)).copied() {
                    let outcomes = run(e, arm, seeds[s]);
                    done.lock().expect("no run panics").push((arm, s, outcomes));
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut done = done.into_inner().expect("no run panics");
    done.sort_by_key(|(arm, seed, _)| (*arm, *seed));
    let mut arms: Vec<Vec<Outcomes>> = e.arm.iter().map(|_| Vec::new()).collect();
    done.into_iter()
        .for_each(|(arm, _, outcomes)| arms[arm].push(outcomes));
    arms
}

/// A mean with its interval.
#[derive(Debug, Clone, Copy, Serialize, PartialEq)]
pub struct Mean {
    pub mean: f64,
    /// Half of the interval that holds the mean in 95 of 100 cases.
    pub half: f64,
    pub count: usize,
}

/// Student's interval of a mean; values that are no number are left out.
pub fn mean(values: impl Iterator<Item = f64>) -> Mean {
    let values: Vec<f64> = values.filter(|value| value.is_finite()).collect();
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    if count < 2 {
        return Mean {
            mean,
            half: f64::NAN,
            count,
        };
    }
    let variance = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / (count - 1) as f64;
    let t = StudentsT::new(0.0, 1.0, (count - 1) as f64).map_or(f64::NAN, |t| t.inverse_cdf(0.975));
    Mean {
        mean,
        half: t * (variance / count as f64).sqrt(),
        count,
    }
}

/// How an arm differs from the first one, seed by seed.
pub fn paired(base: &[Outcomes], arm: &[Outcomes], of: impl Fn(&Outcomes) -> f64) -> Mean {
    mean(base.iter().zip(arm).map(|(base, arm)| of(arm) - of(base)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_interval_is_students() {
        let m = mean([1.0, 2.0, 3.0, 4.0, 5.0, f64::NAN].into_iter());
        // 2.776 (four degrees) times the root of 2.5 / 5.
        assert_eq!((m.mean, m.count), (3.0, 5));
        assert!((m.half - 1.963).abs() < 0.002, "{m:?}");
        assert!(mean([7.0].into_iter()).half.is_nan());
    }
}
