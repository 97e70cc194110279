//! The randomized fault soak: a fleet of real processes on loopback, with faults of links, signals, stepped clocks and failing
//! system calls, several at a time. The record of clients and engines is checked from outside.
//!
//! All random draws come from a seed ([`plan`]). The timing of real processes does not: a seed that failed may pass in
//! another run, so its record and logs are kept. Start reading at [`run`], then at `environment`, `faults` and `evaluation`.

mod clients;
mod dispatcher;
mod environment;
mod evaluation;
mod faults;
mod lag;
mod link;
mod names;
mod peers;
pub mod plan;
mod site;

pub use plan::{FaultFamily, SoakPlan};

use crate::invariants::Violation;
use crate::record::Entry;
use std::fmt::Write as _;
use std::ops::{Range, RangeInclusive};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// A run with violations is repeated if the machine woke a thread later than this: its timing cannot be evaluated (ms).
const BUSY_LAG_MS: f64 = 60.0;
/// The most repetitions of a run because the machine was busy.
const MAX_REPLAYS: usize = 3;

/// The parameters of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The program under test.
    pub exe: PathBuf,
    /// The fault shim's library.
    pub shim: PathBuf,
    /// The seeds, each of which is a run.
    pub seeds: Range<u64>,
    /// Dispatchers of a run.
    pub processes: RangeInclusive<usize>,
    /// How long clients send queries (s).
    pub seconds: f64,
    /// The families of faults that are injected.
    pub families: Vec<FaultFamily>,
    /// Number of concurrent runs.
    pub jobs: usize,
    /// The folder for the records and logs of failed runs.
    pub keep: PathBuf,
    /// Whether a failed run is repeated with one fault less each time, as long as it still fails.
    pub shrinks: bool,
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
    /// Queries by what became of them.
    pub counts: SoakCounts,
    /// The longest delay with which the machine woke a thread (ms).
    pub max_lag_ms: f64,
}

/// What became of a run's queries.
#[derive(Debug, Clone, Copy, Default)]
pub struct SoakCounts {
    /// Queries that were sent completely.
    pub asked: usize,
    /// Those answered with a result.
    pub completed: usize,
    /// Those rejected.
    pub rejected: usize,
    /// Those failed.
    pub failed: usize,
    /// Those whose client disconnected, or for which no answer is owed.
    pub left: usize,
    /// Attempts that reached engines.
    pub attempts: usize,
    /// System calls that the shim made fail.
    pub failed_calls: u64,
}

/// The outcome of all seeds.
#[derive(Debug)]
pub struct SoakReport {
    /// A line for each seed and the sums, for people.
    pub table: String,
    /// Seeds with violations.
    pub failed_seeds: usize,
}

/// A run that has ended, as the report sums it up.
struct FinishedRun {
    has_failed: bool,
    counts: SoakCounts,
}

/// Runs all seeds.
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
                let line = line_of(&outcome, options);
                println!("{line}");
                runs.lock().expect("no holder panics").push(FinishedRun {
                    has_failed: !outcome.violations.is_empty(),
                    counts: outcome.counts,
                });
            });
        }
    });
    let runs = runs.into_inner().expect("no holder panics");
    summary(&runs)
}

fn run_seed(seed: u64, options: &SoakOptions) -> SoakOutcome {
    let plan = SoakPlan::draw(seed, &options.processes, options.seconds, &options.families);
    let mut outcome = environment::run(plan, options);
    for _ in 0..MAX_REPLAYS {
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
    if options.shrinks {
        outcome = shrink(outcome, options);
    }
    keep(&outcome, &options.keep);
    outcome
}

/// Returns the run of the smallest plan that still fails, found by leaving out one fault after the other.
fn shrink(mut failed: SoakOutcome, options: &SoakOptions) -> SoakOutcome {
    let mut nth = 0;
    while nth < failed.plan.faults.len() {
        let smaller = environment::run(failed.plan.without(nth), options);
        if smaller.violations.is_empty() {
            nth += 1;
        } else {
            failed = smaller;
        }
    }
    failed
}

/// Writes the plan, the violations and the record of a failed run to files.
fn keep(outcome: &SoakOutcome, folder: &Path) {
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

fn line_of(outcome: &SoakOutcome, options: &SoakOptions) -> String {
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
        "seed {:>5}  processes {:>2}  faults {:>3}  asked {asked:>5}  completed {completed:>5}  rejected {rejected:>4}  failed \
         {failed:>3}  left {left:>4}  attempts {attempts:>5}  failed calls {failed_calls:>5}  lag {:>3.0} ms  violations {}",
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
        let (first, last) = (options.processes.start(), options.processes.end());
        let _ = write!(
            line,
            "\n  again: tansymux-testbed soak --seeds {0}..{1} --processes {first}..{last} --seconds {2} (record in {3})",
            plan.seed,
            plan.seed + 1,
            plan.seconds,
            options.keep.display()
        );
    }
    line
}

/// The report on all runs.
fn summary(runs: &[FinishedRun]) -> SoakReport {
    let failed_seeds = runs.iter().filter(|run| run.has_failed).count();
    let sum =
        |count: fn(&SoakCounts) -> usize| runs.iter().map(|run| count(&run.counts)).sum::<usize>();
    let failed_calls: u64 = runs.iter().map(|run| run.counts.failed_calls).sum();
    let table = format!(
        "{} seeds, {failed_seeds} with violations; asked {}, completed {}, rejected {}, failed {}, left {}, attempts {}, failed calls {failed_calls}\n",
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
