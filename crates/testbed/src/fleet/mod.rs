//! Fleets under test: the same scenarios in virtual time round the decisions, and on real processes of the program with
//! a relay on every link.
//!
//! One true clock, the rig's. What a member believes is never taken for what is: who is out is known from what the
//! rig's own supervisors did. Safety is checked at every true instant, progress from the end of the last fault.

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
use virtual_fleet::{Served, VirtualFleet};

/// What was seen in one run.
#[derive(Debug, Clone, Default)]
pub struct FleetReport {
    pub seed: u64,
    /// Limit dispatchers out by a turn at any true instant, and what the limit was.
    pub max_out: usize,
    pub limit: usize,
    /// Limit engines drained at a time, and their limit.
    pub max_drained: usize,
    pub drain_limit: usize,
    /// Dispatchers that were released, of all, and when the last one was (ms after the start).
    pub released: usize,
    pub of: usize,
    pub took: Option<f64>,
    /// When the last fault was over.
    pub last_fault: f64,
    /// From the wait's begin to the turn (ms).
    pub to_grant: Vec<f64>,
    /// Bytes a second that each member sent, in the mean.
    pub bytes: f64,
    pub halted: Option<f64>,
    /// Requests answered well, and all; none where no load was played.
    pub good: u64,
    pub all: u64,
    /// What must not be: each breaks the run.
    pub broken: Vec<String>,
}

impl FleetReport {
    /// One line for people.
    pub fn line(&self) -> String {
        let mut line = format!(
            "seed {}: out {} of at most {}, drained {} of {}, released {} of {}",
            self.seed,
            self.max_out,
            self.limit,
            self.max_drained,
            self.drain_limit,
            self.released,
            self.of
        );
        if let Some(took) = self.took {
            let _ = write!(line, " in {:.1} s", took / 1000.0);
        }
        let _ = write!(
            line,
            ", last fault at {:.1} s, {:.0} bytes/s each",
            self.last_fault / 1000.0,
            self.bytes
        );
        if let Some(halted) = self.halted {
            let _ = write!(line, ", halted at {:.1} s", halted / 1000.0);
        }
        if self.all > 0 {
            let _ = write!(
                line,
                ", served {:.4} of {}",
                self.good as f64 / self.all as f64,
                self.all
            );
        }
        for broken in &self.broken {
            let _ = write!(line, "\n  BROKEN: {broken}");
        }
        line
    }

    pub fn out(&mut self, out: usize) {
        self.max_out = self.max_out.max(out);
        if out > self.limit && !self.broken.iter().any(|b| b.contains("out at a time")) {
            self.broken.push(format!(
                "{out} dispatchers out at a time, {} are allowed",
                self.limit
            ));
        }
    }

    pub fn drained(&mut self, drained: usize) {
        self.max_drained = self.max_drained.max(drained);
        if drained > self.drain_limit
            && !self.broken.iter().any(|b| b.contains("drained at a time"))
        {
            self.broken.push(format!(
                "{drained} engines drained at a time, {} are allowed",
                self.drain_limit
            ));
        }
    }
}

/// Plays one scenario in virtual time for each seed, on all cores; a table, and whether one was broken.
pub fn run_seeds(
    seeds: std::ops::Range<u64>,
    scenario: impl Fn(u64) -> Scenario + Sync,
    alone: bool,
    show: bool,
) -> (String, bool) {
    let (next, all) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let scenario = scenario(seed);
                let told = virtual_fleet::told(&scenario);
                let mut world = VirtualFleet::new(scenario, told, Served::default());
                world.alone = alone;
                let seen = world.play();
                all.lock().expect("no player panics").push(seen);
            });
        }
    });
    let mut all = all.into_inner().unwrap_or_default();
    all.sort_by_key(|seen| seen.seed);
    (
        table(&all, show),
        all.iter().any(|seen| !seen.broken.is_empty()),
    )
}

/// What all runs showed: a line for each that was broken, or for all, and the sums.
pub fn table(all: &[FleetReport], show: bool) -> String {
    let mut text = String::new();
    for seen in all.iter().filter(|seen| show || !seen.broken.is_empty()) {
        let _ = writeln!(text, "{}", seen.line());
    }
    let mut waits =
        Histogram::<u64>::new_with_bounds(1, 100_000_000, 3).expect("bounds are in order");
    let mut ends = waits.clone();
    for seen in all {
        seen.to_grant
            .iter()
            .for_each(|wait| waits.saturating_record(*wait as u64));
        ends.saturating_record(seen.took.unwrap_or(1e8) as u64);
    }
    let count = |what: &str| {
        all.iter()
            .filter(|seen| seen.broken.iter().any(|b| b.contains(what)))
            .count()
    };
    let mean = all.iter().map(|seen| seen.bytes).sum::<f64>() / all.len().max(1) as f64;
    let most = all.iter().map(|seen| seen.max_out).max().unwrap_or(0);
    let _ = writeln!(
        text,
        "{} runs: over the limit {}, drains over it {}, not ended in time {}; most out {most}; turn after {:.1} s (p50), \
         {:.1} s (p99); all released after {:.0} s (p50), {:.0} s (p99); {mean:.0} bytes/s each",
        all.len(),
        count("dispatchers out at a time"),
        count("drained at a time"),
        count("not all released"),
        waits.value_at_quantile(0.5) as f64 / 1e3,
        waits.value_at_quantile(0.99) as f64 / 1e3,
        ends.value_at_quantile(0.5) as f64 / 1e3,
        ends.value_at_quantile(0.99) as f64 / 1e3,
    );
    text
}

/// A scenario from a file.
///
/// # Errors
/// The file can't be read, or is no scenario; the text names the file and the place.
pub fn read(path: &std::path::Path) -> Result<Scenario, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{name}: {e}"))
}
