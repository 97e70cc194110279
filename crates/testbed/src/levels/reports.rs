//! Reports on runs with levels: a swinging load, the reaction to a step, and quarter starts.

use super::loads::{quarter_start, step, swings, STEP_DOWN, STEP_UP};
use super::{run, LevelChange, Outcome, RunPlan, Sample};
use crate::plot::{plot, Line};
use std::fmt::Write as _;
use std::path::Path;
use std::thread;

/// Two changes of one level must be this far apart (s): a minute, less two samples.
const MIN_CHANGE_DISTANCE_S: f64 = 59.5;
/// The peak of the step, as a fraction of capacity.
const STEP_PEAK: f64 = 2.2;
/// Levels of the operators' file of these runs.
const LEVELS: usize = 3;
/// Violations that a table shows.
const SHOWN_VIOLATIONS: usize = 5;

/// Runs a step of load, and reports how long after it each level was entered, and full service after the step back.
pub fn reaction(exe: &Path, seconds: f64, seeds: u64) -> String {
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
    let shown =
        |at_s: Option<f64>| at_s.map_or_else(|| "-".to_owned(), |at_s| format!("{at_s:.1}"));
    for (n, outcome) in run_concurrently(exe, plans).iter().enumerate() {
        let first = |depth: usize| {
            let change = outcome.changes.iter().find(|change| change.to == depth);
            change.map(|change| change.at_s - seconds * STEP_UP)
        };
        let last_back = outcome.changes.iter().rev().find(|change| change.to == 0);
        let full = last_back.map(|change| change.at_s - seconds * STEP_DOWN);
        let _ = writeln!(
            table,
            "{:<6} {:>12} {:>12} {:>12} {:>12}",
            n + 1,
            shown(first(1)),
            shown(first(2)),
            shown(first(3)),
            shown(full)
        );
    }
    table
}

/// Runs all plans at the same time. A run whose thread panicked is left out.
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

/// The level that a change enters or leaves.
fn level_of(change: &LevelChange) -> usize {
    change.from.min(change.to)
}

/// Number of changes of a level that are less than a minute after another one.
fn count_too_near(changes: &[LevelChange]) -> usize {
    let is_too_near = |n: &usize| {
        let change = &changes[*n];
        changes[..*n].iter().any(|before| {
            level_of(before) == level_of(change)
                && change.at_s - before.at_s < MIN_CHANGE_DISTANCE_S
        })
    };
    (0..changes.len()).filter(is_too_near).count()
}

/// Number of changes by more than one level.
fn count_skips(changes: &[LevelChange]) -> usize {
    changes
        .iter()
        .filter(|change| change.from.abs_diff(change.to) != 1)
        .count()
}

/// A line for each level with its number of changes.
fn changes_by_level(changes: &[LevelChange], seconds: f64) -> String {
    let mut lines = String::new();
    for level in 0..LEVELS {
        let count = changes
            .iter()
            .filter(|change| level_of(change) == level)
            .count();
        let per_minute = count as f64 / (seconds / 60.0);
        let _ = writeln!(
            lines,
            "level {}: {count} changes, {per_minute:.2} a minute",
            level + 1
        );
    }
    lines
}

/// Runs a load that swings around all thresholds. Returns a table, and whether a check failed.
pub fn swing(exe: &Path, seconds: f64, svg: Option<&Path>) -> (String, bool) {
    let outcome = run(
        exe,
        RunPlan {
            seconds,
            seed: 1,
            levels: true,
            failing: false,
            load: swings,
            peak: 1.0,
        },
    );
    let too_near = count_too_near(&outcome.changes);
    let skips = count_skips(&outcome.changes);
    let mut table = format!(
        "{seconds:.0} s, {} received, {} in time, {} late, {} rejected, {} failed, value {:.3} of the most\n",
        outcome.asked,
        outcome.in_time,
        outcome.late,
        outcome.rejected,
        outcome.failed,
        outcome.value / outcome.max_value.max(1.0)
    );
    table += &changes_by_level(&outcome.changes, seconds);
    let _ = writeln!(
        table,
        "changes of a level less than a minute apart: {too_near}; steps of more than one: {skips}"
    );
    let _ = writeln!(table, "rules broken: {}", outcome.violations.len());
    for violation in outcome.violations.iter().take(SHOWN_VIOLATIONS) {
        let _ = writeln!(table, "  {violation}");
    }
    if let Some(svg) = svg {
        if let Err(error) = plot_swing(svg, &outcome.samples) {
            let _ = writeln!(table, "no plot: {error}");
        }
    }
    (table, too_near + skips + outcome.violations.len() > 0)
}

fn plot_swing(svg: &Path, samples: &[Sample]) -> Result<(), Box<dyn std::error::Error>> {
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
            name: "load (part of capacity)",
            points: column(|sample| sample.load, 1.0),
        },
        Line {
            name: "level (depth)",
            points: column(|sample| sample.depth, 1.0),
        },
        Line {
            name: "late (part)",
            points: column(|sample| sample.late_fraction, 1.0),
        },
        Line {
            name: "value a second (part of the highest)",
            points: column(|sample| sample.value_per_s, 1.0 / max_value),
        },
    ];
    let title = "Load around all thresholds, real program, stand-in engines";
    plot(svg, title, "s", &lines)
}

/// Runs the same quarter starts with levels and without, for several peaks, with and without a failing engine.
pub fn quarters(exe: &Path, seconds: f64, seeds: u64) -> String {
    let mut table = format!(
        "{:<7} {:<8} {:<7} {:>8} {:>8} {:>6} {:>9} {:>7} {:>9} {:>7} {:>9} {:>7} {:>7}\n",
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
        "look p99",
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
                load: quarter_start,
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

/// Runs all seeds at the same time. Returns the outcomes without levels, then those with levels.
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
    let sum = |figure: fn(&Outcome) -> f64| outcomes.iter().map(figure).sum::<f64>();
    let count = outcomes.len().max(1) as f64;
    format!(
        "{:>8} {:>8} {:>6} {:>9} {:>7} {:>9} {:>7.3} {:>9.0} {:>7.3} {:>7}",
        sum(|outcome| outcome.asked as f64),
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
