//! Reports on runs with service levels: an oscillating load, the reaction to a step of load, and quarter starts.

use super::loads::{rise_to_peak, step, waves, STEP_BEGIN, STEP_END};
use super::{run, LevelChange, Outcome, RunPlan, Sample};
use crate::plot::{plot, Line};
use std::fmt::Write as _;
use std::path::Path;
use std::thread;

/// Minimum time between two changes of a level (s): the minute that the program enforces, less the error of two
/// samples.
const MIN_CHANGE_INTERVAL_S: f64 = 59.5;
/// The peak of the step, as a fraction of capacity.
const STEP_PEAK: f64 = 2.2;
/// Number of levels in the operators' file of these runs.
const LEVEL_COUNT: usize = 3;
/// Maximum violations that a table shows.
const MAX_SHOWN_VIOLATIONS: usize = 5;

/// Runs a step of load with each seed. Returns a table of the times from the rise of the load until each level was
/// entered, and from its fall until full service was restored.
pub fn run_load_step(exe: &Path, seconds: f64, seeds: u64) -> String {
    let mut table = format!(
        "{:<6} {:>12} {:>12} {:>12} {:>12}\n",
        "seed", "level 1 (s)", "level 2 (s)", "level 3 (s)", "full (s)"
    );
    let plans = (1..=seeds).map(|seed| RunPlan {
        seconds,
        seed,
        levels: true,
        failing: false,
        load: step,
        peak: STEP_PEAK,
    });
    let format_time =
        |at_s: Option<f64>| at_s.map_or_else(|| "-".to_owned(), |at_s| format!("{at_s:.1}"));
    for (index, outcome) in run_concurrently(exe, plans).iter().enumerate() {
        let time_to_enter = |depth: usize| {
            let change = outcome.changes.iter().find(|change| change.to == depth);
            change.map(|change| change.at_s - seconds * STEP_BEGIN)
        };
        let last_return = outcome.changes.iter().rev().find(|change| change.to == 0);
        let time_to_full = last_return.map(|change| change.at_s - seconds * STEP_END);
        let _ = writeln!(
            table,
            "{:<6} {:>12} {:>12} {:>12} {:>12}",
            index + 1,
            format_time(time_to_enter(1)),
            format_time(time_to_enter(2)),
            format_time(time_to_enter(3)),
            format_time(time_to_full)
        );
    }
    table
}

/// Runs all plans concurrently. The result omits runs whose thread panicked.
fn run_concurrently(exe: &Path, plans: impl Iterator<Item = RunPlan>) -> Vec<Outcome> {
    thread::scope(|scope| {
        let running: Vec<_> = plans
            .map(|plan| scope.spawn(move || run(exe, plan)))
            .collect();
        running
            .into_iter()
            .filter_map(|run| run.join().ok())
            .collect()
    })
}

/// Returns the index of the level that a change enters or leaves.
fn level_of(change: &LevelChange) -> usize {
    change.from.min(change.to)
}

/// Counts the changes of a level that follow an earlier change of the same level by less than
/// [`MIN_CHANGE_INTERVAL_S`].
fn count_too_frequent(changes: &[LevelChange]) -> usize {
    let is_too_frequent = |index: &usize| {
        let change = &changes[*index];
        changes[..*index].iter().any(|earlier| {
            level_of(earlier) == level_of(change)
                && change.at_s - earlier.at_s < MIN_CHANGE_INTERVAL_S
        })
    };
    (0..changes.len()).filter(is_too_frequent).count()
}

/// Counts the changes by more than one level.
fn count_level_skips(changes: &[LevelChange]) -> usize {
    changes
        .iter()
        .filter(|change| change.from.abs_diff(change.to) != 1)
        .count()
}

/// Returns one line per level with its number of changes.
fn changes_by_level(changes: &[LevelChange], seconds: f64) -> String {
    let mut lines = String::new();
    for level in 0..LEVEL_COUNT {
        let count = changes
            .iter()
            .filter(|change| level_of(change) == level)
            .count();
        let per_minute = count as f64 / (seconds / 60.0);
        let _ = writeln!(
            lines,
            "level {}: {count} changes, {per_minute:.2} per minute",
            level + 1
        );
    }
    lines
}

/// Runs a load that oscillates across the thresholds of all levels. Returns a table, and whether a check failed.
pub fn run_oscillating_load(exe: &Path, seconds: f64, svg: Option<&Path>) -> (String, bool) {
    let outcome = run(
        exe,
        RunPlan {
            seconds,
            seed: 1,
            levels: true,
            failing: false,
            load: waves,
            peak: 1.0,
        },
    );
    let too_frequent = count_too_frequent(&outcome.changes);
    let level_skips = count_level_skips(&outcome.changes);
    let mut table = format!(
        "{seconds:.0} s, {} received, {} in time, {} late, {} rejected, {} failed, value {:.3} of the maximum\n",
        outcome.sent,
        outcome.in_time,
        outcome.late,
        outcome.rejected,
        outcome.failed,
        outcome.value / outcome.max_value.max(1.0)
    );
    table += &changes_by_level(&outcome.changes, seconds);
    let _ = writeln!(
        table,
        "changes of a level less than a minute apart: {too_frequent}; changes by more than one level: {level_skips}"
    );
    let _ = writeln!(table, "rule violations: {}", outcome.violations.len());
    for violation in outcome.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        let _ = writeln!(table, "  {violation}");
    }
    if let Some(svg) = svg {
        if let Err(error) = plot_oscillation(svg, &outcome.samples) {
            let _ = writeln!(table, "could not write the plot: {error}");
        }
    }
    (
        table,
        too_frequent + level_skips + outcome.violations.len() > 0,
    )
}

fn plot_oscillation(svg: &Path, samples: &[Sample]) -> Result<(), Box<dyn std::error::Error>> {
    let column = |value: fn(&Sample) -> f64, scale: f64| {
        samples
            .iter()
            .map(|sample| (sample.at_s, value(sample) * scale))
            .collect()
    };
    let max_value = samples
        .iter()
        .map(|sample| sample.value_per_s)
        .fold(1.0, f64::max);
    let lines = [
        Line {
            name: "load (fraction of capacity)",
            points: column(|sample| sample.load, 1.0),
        },
        Line {
            name: "level (depth)",
            points: column(|sample| sample.depth, 1.0),
        },
        Line {
            name: "late answers (fraction)",
            points: column(|sample| sample.late_fraction, 1.0),
        },
        Line {
            name: "value per second (fraction of the maximum)",
            points: column(|sample| sample.value_per_s, 1.0 / max_value),
        },
    ];
    let title = "Load around all thresholds, real program, stand-in engines";
    plot(svg, title, "s", &lines)
}

/// Runs a load like that at the start of a business quarter, with and without levels on the same seeds, for several
/// peaks, with and without a failing engine. Returns a table.
pub fn run_quarter_starts(exe: &Path, seconds: f64, seeds: u64) -> String {
    let mut table = format!(
        "{:<7} {:<8} {:<7} {:>8} {:>8} {:>6} {:>9} {:>7} {:>9} {:>7} {:>11} {:>7} {:>7}\n",
        "height",
        "failing",
        "levels",
        "received",
        "in time",
        "late",
        "rejected",
        "failed",
        "retried",
        "value",
        "look-up p99",
        "waste",
        "broken"
    );
    for peak in [1.0, 1.3, 1.6] {
        for failing in [false, true] {
            let plan = |seed, levels| RunPlan {
                seconds,
                seed: seed + 1,
                levels,
                failing,
                load: rise_to_peak,
                peak,
            };
            let (without, with) = run_with_and_without_levels(exe, seeds, plan);
            for (levels, outcomes) in [(false, without), (true, with)] {
                let _ = writeln!(
                    table,
                    "{peak:<7} {failing:<8} {levels:<7} {}",
                    quarter_row(&outcomes)
                );
            }
        }
    }
    table
}

/// Runs all seeds concurrently. Returns the outcomes without levels, then those with levels.
fn run_with_and_without_levels(
    exe: &Path,
    seeds: u64,
    plan: impl Fn(u64, bool) -> RunPlan,
) -> (Vec<Outcome>, Vec<Outcome>) {
    thread::scope(|scope| {
        let mut running = [Vec::new(), Vec::new()];
        for seed in 0..seeds {
            for levels in [false, true] {
                let plan = plan(seed, levels);
                running[usize::from(levels)].push(scope.spawn(move || run(exe, plan)));
            }
        }
        let [without, with] = running.map(|runs| {
            runs.into_iter()
                .filter_map(|run| run.join().ok())
                .collect::<Vec<Outcome>>()
        });
        (without, with)
    })
}

fn quarter_row(outcomes: &[Outcome]) -> String {
    let sum = |metric: fn(&Outcome) -> f64| outcomes.iter().map(metric).sum::<f64>();
    let count = outcomes.len().max(1) as f64;
    format!(
        "{:>8} {:>8} {:>6} {:>9} {:>7} {:>9} {:>7.3} {:>11.0} {:>7.3} {:>7}",
        sum(|outcome| outcome.sent as f64),
        sum(|outcome| outcome.in_time as f64),
        sum(|outcome| outcome.late as f64),
        sum(|outcome| outcome.rejected as f64),
        sum(|outcome| outcome.failed as f64),
        sum(|outcome| outcome.retried as f64),
        sum(|outcome| outcome.value) / sum(|outcome| outcome.max_value).max(1.0),
        sum(|outcome| outcome.lookup_p99_ms as f64) / count,
        sum(|outcome| outcome.waste) / count,
        sum(|outcome| outcome.violations.len() as f64),
    )
}
