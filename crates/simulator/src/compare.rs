//! Runs many seeds concurrently, and compares variants seed by seed.

use crate::schema::Experiment;
use crate::simulation::{run, Outcomes};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

#[cfg(test)]
mod tests;

/// Quantile at the upper end of a 95% confidence interval.
const UPPER_QUANTILE: f64 = 0.975;

/// One run of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    variant: usize,
    /// Offset of the seed from the experiment's first seed.
    seed_index: usize,
}

/// Runs all seeds of all variants. Returns the outcomes by variant and seed, independent of the order of the runs.
/// Shows progress on standard error unless `quiet` is set.
pub fn run_all(experiment: &Experiment, threads: usize, quiet: bool) -> Vec<Vec<Outcomes>> {
    let seed_count = experiment.seeds() as usize;
    let variant_count = experiment.arm.len();
    let jobs: Vec<Job> = (0..seed_count * variant_count)
        .map(|index| Job {
            variant: index % variant_count,
            seed_index: index / variant_count,
        })
        .collect();
    let progress = progress_bar(jobs.len(), quiet);
    let next_job = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next_job.fetch_add(1, Ordering::Relaxed)) {
                    let seed = experiment.first_seed() + job.seed_index as u64;
                    let outcomes = run(experiment, job.variant, seed);
                    finished
                        .lock()
                        .expect("no run panics")
                        .push((*job, outcomes));
                    progress.inc(1);
                }
            });
        }
    });
    progress.finish_and_clear();
    let mut finished = finished.into_inner().expect("no run panics");
    finished.sort_by_key(|(job, _)| *job);
    let mut by_variant: Vec<Vec<Outcomes>> = (0..variant_count).map(|_| Vec::new()).collect();
    for (job, outcomes) in finished {
        by_variant[job.variant].push(outcomes);
    }
    by_variant
}

fn progress_bar(runs: usize, quiet: bool) -> ProgressBar {
    let bar = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(runs as u64)
    };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    bar
}

/// A mean with its confidence interval.
#[derive(Debug, Clone, Copy, Serialize, PartialEq)]
pub struct Mean {
    /// The mean of all values.
    pub mean: f64,
    /// Half of the width of the 95% confidence interval; NaN for fewer than two values.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// Number of values.
    pub count: usize,
}

/// The mean with the confidence interval of Student's t distribution. Values that are not finite are ignored.
pub fn mean(values: impl Iterator<Item = f64>) -> Mean {
    let values: Vec<f64> = values.filter(|value| value.is_finite()).collect();
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    if count < 2 {
        return Mean {
            mean,
            half_width: f64::NAN,
            count,
        };
    }
    let degrees_of_freedom = (count - 1) as f64;
    let sum_of_squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let variance = sum_of_squares / degrees_of_freedom;
    let quantile = StudentsT::new(0.0, 1.0, degrees_of_freedom).map_or(f64::NAN, |distribution| {
        distribution.inverse_cdf(UPPER_QUANTILE)
    });
    Mean {
        mean,
        half_width: quantile * (variance / count as f64).sqrt(),
        count,
    }
}

/// The mean of the differences between a variant and the base variant, paired by seed.
pub fn paired_difference(
    base: &[Outcomes],
    variant: &[Outcomes],
    figure: impl Fn(&Outcomes) -> f64,
) -> Mean {
    let pairs = base.iter().zip(variant);
    mean(pairs.map(|(base, variant)| figure(variant) - figure(base)))
}
