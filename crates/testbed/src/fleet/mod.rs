//! Fleets under test. The same scenarios run in virtual time, around the program's `FleetNode`, and on real processes
//! of the program with a relay on every link.
//!
//! True time is the testbed's clock. The actions of the testbed's supervisors determine which dispatchers are out;
//! members' reports are never taken as ground truth. Safety limits are checked throughout the run. The time limit for
//! the release starts at the end of the last fault.

mod dispatcher_setup;
mod links;
pub mod processes;
pub mod relay;
pub mod scenario;
pub mod virtual_fleet;
pub mod zones;

use hdrhistogram::Histogram;
use scenario::Scenario;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use virtual_fleet::{VersionQuality, VirtualFleet};

/// The key shared by all members of a fleet on processes.
pub(crate) const FLEET_KEY: &str = "00112233445566778899aabbccddeeff";

/// Maximum time in a table (ms), also shown as the completion time of a release that did not complete.
const MAX_SHOWN_MS: f64 = 1e8;

/// The observations of one run of a scenario.
#[derive(Debug, Clone, Default)]
pub struct FleetReport {
    /// The seed that reproduces the run.
    pub seed: u64,
    /// Maximum number of dispatchers that were out under a restart lease at the same time.
    pub max_out: usize,
    /// Maximum number of dispatchers allowed out at the same time.
    pub limit: usize,
    /// Maximum number of engines that were drained at the same time.
    pub max_drained: usize,
    /// Maximum number of engines allowed drained at the same time.
    pub drain_limit: usize,
    /// Number of dispatchers that run the new version at the end of the run.
    pub released: usize,
    /// Number of dispatchers in the fleet.
    pub members: usize,
    /// Time at which all dispatchers ran the new version (ms after the start of the release).
    pub completed_after_ms: Option<f64>,
    /// End of the last fault (ms after the start of the release).
    pub last_fault_ms: f64,
    /// For each granted lease, the time that its supervisor waited for it (ms).
    pub lease_waits_ms: Vec<f64>,
    /// Mean rate at which each member sent bytes (bytes/s).
    pub bytes_per_s: f64,
    /// Time of the first halt (ms after the start of the release).
    pub halted_after_ms: Option<f64>,
    /// Number of requests that succeeded; 0 in a run without load.
    pub requests_ok: u64,
    /// Number of requests sent.
    pub requests: u64,
    /// Violations of the run's checks. Any entry fails the run.
    pub violations: Vec<String>,
}

impl FleetReport {
    /// An empty report with the limits of a scenario.
    pub(crate) fn of_scenario(scenario: &Scenario) -> Self {
        FleetReport {
            seed: scenario.seed,
            limit: scenario.max_out,
            drain_limit: scenario.max_engines,
            members: scenario.members,
            last_fault_ms: scenario.last_fault_ms(),
            ..FleetReport::default()
        }
    }

    /// A readable summary line, followed by one line per violation.
    pub fn line(&self) -> String {
        let mut line = format!(
            "seed {}: out {} of at most {}, drained {} of {}, released {} of {}",
            self.seed,
            self.max_out,
            self.limit,
            self.max_drained,
            self.drain_limit,
            self.released,
            self.members
        );
        if let Some(completed_ms) = self.completed_after_ms {
            let _ = write!(line, " in {:.1} s", completed_ms / 1000.0);
        }
        let _ = write!(
            line,
            ", last fault at {:.1} s, {:.0} bytes/s each",
            self.last_fault_ms / 1000.0,
            self.bytes_per_s
        );
        if let Some(halted_ms) = self.halted_after_ms {
            let _ = write!(line, ", halted at {:.1} s", halted_ms / 1000.0);
        }
        if self.requests > 0 {
            let success = self.requests_ok as f64 / self.requests as f64;
            let _ = write!(line, ", served {success:.4} of {}", self.requests);
        }
        for violation in &self.violations {
            let _ = write!(line, "\n  violation: {violation}");
        }
        line
    }

    /// Records the number of dispatchers out now. The first time that it exceeds the limit is a violation.
    pub fn record_out(&mut self, out: usize) {
        self.max_out = self.max_out.max(out);
        if out > self.limit && !self.has_violation("out at a time") {
            self.violations.push(format!(
                "{out} dispatchers out at a time, {} are allowed",
                self.limit
            ));
        }
    }

    /// Records the number of engines drained now. The first time that it exceeds the limit is a violation.
    pub fn record_drained(&mut self, drained: usize) {
        self.max_drained = self.max_drained.max(drained);
        if drained > self.drain_limit && !self.has_violation("drained at a time") {
            self.violations.push(format!(
                "{drained} engines drained at a time, {} are allowed",
                self.drain_limit
            ));
        }
    }

    /// Whether the text of one of the violations contains `words`.
    fn has_violation(&self, words: &str) -> bool {
        self.violations
            .iter()
            .any(|violation| violation.contains(words))
    }
}

/// The results of several runs: a table, and whether one failed.
#[derive(Debug)]
pub struct RunsOutcome {
    /// The readable table.
    pub table: String,
    /// Whether any run has a violation.
    pub failed: bool,
}

/// Options of runs in virtual time.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunOptions {
    /// Whether supervisors restart dispatchers without a lease, for comparison.
    pub uncoordinated: bool,
    /// Whether the table has a line for every run instead of only for failed runs.
    pub show_all: bool,
}

/// Runs one scenario in virtual time for each seed, on all cores.
pub fn run_seeds(
    seeds: std::ops::Range<u64>,
    scenario: impl Fn(u64) -> Scenario + Sync,
    options: RunOptions,
) -> RunsOutcome {
    let next_seed = AtomicU64::new(seeds.start);
    let reports = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let scenario = scenario(seed);
                let definition = virtual_fleet::fleet_definition(&scenario);
                let mut fleet = VirtualFleet::new(scenario, definition, VersionQuality::default());
                fleet.set_uncoordinated(options.uncoordinated);
                let report = fleet.run();
                reports
                    .lock()
                    .expect("the lock is not poisoned")
                    .push(report);
            });
        }
    });
    let mut reports = reports.into_inner().unwrap_or_default();
    reports.sort_by_key(|report| report.seed);
    RunsOutcome {
        table: table(&reports, options.show_all),
        failed: reports.iter().any(|report| !report.violations.is_empty()),
    }
}

/// A table of runs: a line for each failed run, or with `show_all` for every run, and a summary.
pub fn table(reports: &[FleetReport], show_all: bool) -> String {
    let mut text = String::new();
    for report in reports
        .iter()
        .filter(|report| show_all || !report.violations.is_empty())
    {
        let _ = writeln!(text, "{}", report.line());
    }
    text += &summary(reports);
    text
}

/// The summary line of a table.
fn summary(reports: &[FleetReport]) -> String {
    let waits_ms = histogram(
        reports
            .iter()
            .flat_map(|report| &report.lease_waits_ms)
            .copied(),
    );
    let completions_ms = histogram(
        reports
            .iter()
            .map(|report| report.completed_after_ms.unwrap_or(MAX_SHOWN_MS)),
    );
    let count = |words: &str| {
        reports
            .iter()
            .filter(|report| report.has_violation(words))
            .count()
    };
    let bytes_per_s =
        reports.iter().map(|report| report.bytes_per_s).sum::<f64>() / reports.len().max(1) as f64;
    let max_out = reports
        .iter()
        .map(|report| report.max_out)
        .max()
        .unwrap_or(0);
    let seconds = |times_ms: &Histogram<u64>, quantile: f64| {
        times_ms.value_at_quantile(quantile) as f64 / 1e3
    };
    format!(
        "{} runs: out over the limit {}, drained over their limit {}, not released in time {}; max out {max_out}; \
         lease after {:.1} s (p50), {:.1} s (p99); all released after {:.0} s (p50), {:.0} s (p99); \
         {bytes_per_s:.0} bytes/s each\n",
        reports.len(),
        count("dispatchers out at a time"),
        count("drained at a time"),
        count("not all released"),
        seconds(&waits_ms, 0.5),
        seconds(&waits_ms, 0.99),
        seconds(&completions_ms, 0.5),
        seconds(&completions_ms, 0.99),
    )
}

/// A histogram of times, rounded down to milliseconds.
fn histogram(times_ms: impl Iterator<Item = f64>) -> Histogram<u64> {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_SHOWN_MS as u64, 3).expect("bounds are in order");
    for time_ms in times_ms {
        histogram.saturating_record(time_ms as u64);
    }
    histogram
}

/// An error while reading a scenario file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFileError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The file is not a scenario in JSON; the source gives the position.
    #[error("{path}: {source}")]
    Malformed {
        /// The file's path.
        path: String,
        /// The JSON error with its position.
        source: serde_json::Error,
    },
}

/// Reads a scenario from a file.
///
/// # Errors
/// Fails if the file cannot be read or is not a scenario; the message gives the file and the position.
pub fn read_scenario(path: &std::path::Path) -> Result<Scenario, ScenarioFileError> {
    let path_text = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(source) => {
            return Err(ScenarioFileError::Unreadable {
                path: path_text,
                source,
            })
        }
    };
    serde_json::from_str(&text).map_err(|source| ScenarioFileError::Malformed {
        path: path_text,
        source,
    })
}
