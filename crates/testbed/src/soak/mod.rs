//! The randomized fault soak: a fleet of real processes on loopback, under concurrent link faults, signals, clock steps
//! and failing system calls. The record of clients and engines is checked against the rules.
//!
//! All faults and settings are drawn from a seed ([`plan`]). The timing of real processes is not reproducible: a seed
//! that failed may pass when it is repeated, so its record and logs are kept.
//!
//! Start reading at [`run`], then at `environment`, `faults` and `evaluation`.

mod clients;
mod deployment;
mod dispatcher;
mod environment;
mod evaluation;
mod faults;
mod lag;
mod link;
mod name_service_proxy;
mod peers;
pub mod plan;

pub use plan::{FaultFamily, SoakPlan};

use crate::invariants::Violation;
use crate::record::Entry;
use std::fmt::Write as _;
use std::ops::{Range, RangeInclusive};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Wake-up delay at and above which a run's timing cannot be evaluated (ms). A run with violations is then repeated.
const BUSY_LAG_MS: f64 = 60.0;
/// Maximum number of repetitions of a run on a busy machine.
const MAX_REPETITIONS: usize = 3;

/// The parameters of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The program under test.
    pub exe: PathBuf,
    /// The fault shim's library.
    pub shim: PathBuf,
    /// The seeds; each is one run.
    pub seeds: Range<u64>,
    /// The number of dispatchers of a run, drawn from this range.
    pub dispatchers: RangeInclusive<usize>,
    /// How long clients send queries (s).
    pub seconds: f64,
    /// The families of faults that are injected.
    pub families: Vec<FaultFamily>,
    /// Number of concurrent runs.
    pub jobs: usize,
    /// The folder for the records and logs of failed runs.
    pub artifact_dir: PathBuf,
    /// Whether the plan of a failed run is reduced to the faults without which it passes.
    pub shrink_failures: bool,
}

/// The outcome of one run.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Its plan.
    pub plan: SoakPlan,
    /// The run's record.
    pub entries: Vec<Entry>,
    /// The violations of the rules.
    pub violations: Vec<Violation>,
    /// Counts of queries by their outcome, of attempts and of failed system calls.
    pub counts: SoakCounts,
    /// The longest delay with which the machine woke a thread (ms).
    pub max_lag_ms: f64,
}

/// Counts of a run's queries by their outcome, of its attempts and of failed system calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct SoakCounts {
    /// Queries that clients sent in full.
    pub asked: usize,
    /// Queries that were answered with a result.
    pub completed: usize,
    /// Queries that were rejected.
    pub rejected: usize,
    /// Queries that were answered with an error.
    pub failed: usize,
    /// Queries whose client disconnected, or to which no answer is expected.
    pub left: usize,
    /// Attempts that reached engines.
    pub attempts: usize,
    /// System calls into which the fault shim injected a fault.
    pub failed_calls: u64,
}

/// The outcome of all seeds.
#[derive(Debug)]
pub struct SoakReport {
    /// The totals of all runs, as one line of text.
    pub table: String,
    /// The number of seeds with violations.
    pub failed_seeds: usize,
}

/// The outcome of a finished run, for the report.
struct FinishedRun {
    has_failed: bool,
    counts: SoakCounts,
}

/// Runs all seeds, up to [`SoakOptions::jobs`] at a time, and prints the result of each.
pub fn run(options: &SoakOptions) -> SoakReport {
    let next = AtomicUsize::new(0);
    let seeds: Vec<u64> = options.seeds.clone().collect();
    let runs: Mutex<Vec<FinishedRun>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(|| loop {
                let nth = next.fetch_add(1, Ordering::SeqCst);
                let Some(seed) = seeds.get(nth) else {
                    return;
                };
                let outcome = run_seed(*seed, options);
                let line = seed_line(&outcome, options);
                println!("{line}");
                runs.lock()
                    .expect("the lock is not poisoned")
                    .push(FinishedRun {
                        has_failed: !outcome.violations.is_empty(),
                        counts: outcome.counts,
                    });
            });
        }
    });
    let runs = runs.into_inner().expect("the lock is not poisoned");
    summary(&runs)
}

fn run_seed(seed: u64, options: &SoakOptions) -> SoakOutcome {
    let plan = SoakPlan::draw(
        seed,
        &options.dispatchers,
        options.seconds,
        &options.families,
    );
    let mut outcome = environment::run(plan, options);
    for _ in 0..MAX_REPETITIONS {
        if outcome.violations.is_empty() || outcome.max_lag_ms < BUSY_LAG_MS {
            break;
        }
        println!(
            "seed {seed}: the machine was busy (woke a thread {:.0} ms late), {} violations not evaluated, run repeated",
            outcome.max_lag_ms,
            outcome.violations.len()
        );
        outcome = environment::run(outcome.plan, options);
    }
    if outcome.violations.is_empty() {
        return outcome;
    }
    if options.shrink_failures {
        outcome = shrink(outcome, options);
    }
    write_files(&outcome, &options.artifact_dir);
    outcome
}

/// Leaves out each fault of a failed plan in turn, for good if the run still fails. Returns the last failed run.
fn shrink(mut failed: SoakOutcome, options: &SoakOptions) -> SoakOutcome {
    let mut nth = 0;
    while nth < failed.plan.faults.len() {
        let reduced = environment::run(failed.plan.without(nth), options);
        if reduced.violations.is_empty() {
            nth += 1;
        } else {
            failed = reduced;
        }
    }
    failed
}

/// Writes the plan, the violations and the record of a failed run to files.
fn write_files(outcome: &SoakOutcome, folder: &Path) {
    let _ = std::fs::create_dir_all(folder);
    let seed = outcome.plan.seed;
    let mut text = format!("{:#?}\n", outcome.plan);
    for violation in &outcome.violations {
        let _ = writeln!(text, "{violation}");
    }
    let _ = std::fs::write(folder.join(format!("seed-{seed}.txt")), text);
    let mut record = String::new();
    for entry in &outcome.entries {
        let line = serde_json::to_string(entry).unwrap_or_default();
        record += &line;
        record.push('\n');
    }
    let _ = std::fs::write(folder.join(format!("seed-{seed}.jsonl")), record);
}

/// The result line of a seed, followed by its first violations and the command that repeats the run.
fn seed_line(outcome: &SoakOutcome, options: &SoakOptions) -> String {
    let SoakCounts {
        asked,
        completed,
        rejected,
        failed,
        left,
        attempts,
        failed_calls,
    } = outcome.counts;
    let plan = &outcome.plan;
    let mut line = format!(
        "seed {:>5}  processes {:>2}  faults {:>3}  received {asked:>5}  completed {completed:>5}  rejected {rejected:>4}  failed \
         {failed:>3}  disconnected {left:>4}  attempts {attempts:>5}  failed calls {failed_calls:>5}  lag {:>3.0} ms  violations {}",
        plan.seed,
        plan.dispatchers,
        plan.faults.len(),
        outcome.max_lag_ms,
        outcome.violations.len()
    );
    for violation in outcome.violations.iter().take(8) {
        let _ = write!(line, "\n  {violation}");
    }
    if !outcome.violations.is_empty() {
        let (first, last) = (options.dispatchers.start(), options.dispatchers.end());
        let _ = write!(
            line,
            "\n  to repeat: tansymux-testbed soak --seeds {0}..{1} --processes {first}..{last} --seconds {2} (record in {3})",
            plan.seed,
            plan.seed + 1,
            plan.seconds,
            options.artifact_dir.display()
        );
    }
    line
}

/// Returns the report on all runs.
fn summary(runs: &[FinishedRun]) -> SoakReport {
    let failed_seeds = runs.iter().filter(|run| run.has_failed).count();
    let sum =
        |count: fn(&SoakCounts) -> usize| runs.iter().map(|run| count(&run.counts)).sum::<usize>();
    let failed_calls: u64 = runs.iter().map(|run| run.counts.failed_calls).sum();
    let table = format!(
        "{} seeds, {failed_seeds} with violations; received {}, completed {}, rejected {}, failed {}, disconnected {}, attempts {}, failed calls {failed_calls}\n",
        runs.len(),
        sum(|counts| counts.asked),
        sum(|counts| counts.completed),
        sum(|counts| counts.rejected),
        sum(|counts| counts.failed),
        sum(|counts| counts.left),
        sum(|counts| counts.attempts),
    );
    SoakReport {
        table,
        failed_seeds,
    }
}
