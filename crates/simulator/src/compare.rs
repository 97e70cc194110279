//! Runs of many seeds at the same time, and comparisons of variants seed by seed.

use crate::schema::Experiment;
use crate::simulation::{run, Outcomes};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

#[cfg(test)]
mod tests;

/// The quantile at the upper end of an interval that holds the mean in 95 of 100 cases.
const UPPER_QUANTILE: f64 = 0.975;

/// One run of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    variant: usize,
    /// The seed's distance from the experiment's first one.
    seed_index: usize,
}

/// Runs all seeds of all variants. Returns the outcomes by variant and seed, which do not depend on the order of the runs.
/// Progress goes to standard error unless `quiet`.
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
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next_job.fetch_add(1, Ordering::Relaxed)) {
                    let seed = experiment.first_seed() + job.seed_index as u64;
                    let outcomes = run(experiment, job.variant, seed);
                    done.lock().expect("no run panics").push((*job, outcomes));
                    progress.inc(1);
                }
            });
        }
    });
    progress.finish_and_clear();
    let mut done = done.into_inner().expect("no run panics");
    done.sort_by_key(|(job, _)| *job);
    let mut by_variant: Vec<Vec<Outcomes>> = (0..variant_count).map(|_| Vec::new()).collect();
    for (job, outcomes) in done {
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

/// A mean with its interval.
#[derive(Debug, Clone, Copy, Serialize, PartialEq)]
pub struct Mean {
    /// The mean of all values.
    pub mean: f64,
    /// Half of the interval that holds the true mean in 95 of 100 cases; not a number for fewer than two values.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// Number of values.
    pub count: usize,
}

/// The mean with the interval of Student's t distribution; values that are not finite are left out.
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
    let freedom = (count - 1) as f64;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let variance = squares / freedom;
    let quantile = StudentsT::new(0.0, 1.0, freedom)
        .map_or(f64::NAN, |student| student.inverse_cdf(UPPER_QUANTILE));
    Mean {
        mean,
        half_width: quantile * (variance / count as f64).sqrt(),
        count,
    }
}

/// The mean difference of a variant from the first one, seed by seed.
pub fn paired(base: &[Outcomes], variant: &[Outcomes], figure: impl Fn(&Outcomes) -> f64) -> Mean {
    let pairs = base.iter().zip(variant);
    mean(pairs.map(|(base, variant)| figure(variant) - figure(base)))
}
