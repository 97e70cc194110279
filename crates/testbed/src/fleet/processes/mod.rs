//! A scenario on real processes of the program, each with an operators' file of its own and a relay on every link.
//! Stalls and crashes reach only processes that this run started and holds.
//!
//! Start reading at [`play`], then at `FleetRun::play`.

mod clients;
mod faults;
mod member;
mod setup;
mod supervisor;

use super::relay::{EngineLink, Relay};
use super::scenario::Scenario;
use super::FleetReport;
use crate::program::{Config, TempFile};
use member::Place;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The version that all members start with, and the one that they are released to.
const OLD_VERSION: &str = "v1";
const NEW_VERSION: &str = "v2";
/// How often threads of a run look for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// All members must be healthy this long after their start, and the release must begin in the same time.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How often operators look after a release, once the faults are over.
const OPERATOR_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// A run is set up again so often where another program took an address.
const MAX_SETUPS: usize = 3;
/// Clients of the fleet.
const CLIENTS: u64 = 3;

/// How a scenario is played on processes.
#[derive(Debug, Clone, Default)]
pub struct ProcessOptions {
    /// Supervisors restart without a lease, for comparison.
    pub uncoordinated: bool,
    /// A folder for the processes' logs.
    pub logs: Option<PathBuf>,
}

/// Plays a scenario with processes of `exe`.
pub fn play(exe: &Path, scenario: &Scenario, options: &ProcessOptions) -> FleetReport {
    // Another program may take an address between its being found free and its use: such a run does not count.
    for _ in 0..MAX_SETUPS {
        match play_once(exe, scenario, options) {
            Some(report) => return report,
            None => eprintln!("an address was taken by another program: played again"),
        }
    }
    FleetReport {
        violations: vec!["no free addresses".into()],
        ..FleetReport::default()
    }
}

/// Plays a scenario; none where another program took an address.
fn play_once(exe: &Path, scenario: &Scenario, options: &ProcessOptions) -> Option<FleetReport> {
    let engines = setup::start_engines(scenario.engines);
    let run = FleetRun::new(exe, scenario.clone(), options, &engines);
    let report = run.play();
    for link in run.engine_links.iter().flatten() {
        link.stop();
    }
    for engine in &engines {
        engine.stop();
    }
    (!run.address_taken.load(Ordering::Relaxed)).then_some(report)
}

/// A run: what all its threads share.
struct FleetRun {
    exe: PathBuf,
    scenario: Scenario,
    options: ProcessOptions,
    relay: Relay,
    /// For each member, its links to the engines.
    engine_links: Vec<Vec<EngineLink>>,
    places: Vec<Mutex<Place>>,
    configs: Vec<Config>,
    operator_files: Vec<TempFile>,
    log_files: Vec<TempFile>,
    listen_addresses: Vec<SocketAddr>,
    started: Instant,
    over: AtomicBool,
    /// Whether each member is out by a restart lease: the true state.
    out: Mutex<Vec<bool>>,
    /// Whether each engine is drained: the true state.
    drained: Mutex<Vec<bool>>,
    report: Mutex<FleetReport>,
    /// Queries that a process which lives took in and did not answer.
    unanswered: AtomicU64,
    address_taken: AtomicBool,
    requests_ok: AtomicU64,
    requests: AtomicU64,
}

impl FleetRun {
    /// Milliseconds since the run was set up.
    fn elapsed_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn report(&self) -> MutexGuard<'_, FleetReport> {
        self.report.lock().expect("no holder panics")
    }

    fn place(&self, n: usize) -> MutexGuard<'_, Place> {
        self.places[n].lock().expect("no holder panics")
    }

    fn record_violation(&self, description: String) {
        self.report().violations.push(description);
    }

    /// Plays the scenario: starts all members, then the release with faults, clients and supervisors at the same time.
    fn play(&self) -> FleetReport {
        for n in 0..self.places.len() {
            self.start_member(n, &mut self.place(n), None);
        }
        if !self.await_all_healthy() {
            self.address_taken.store(true, Ordering::Relaxed);
            return FleetReport::default();
        }
        // From now on a voter that starts may have forgotten what it promised.
        for n in 0..self.places.len() {
            self.operator_files[n].write(&self.operator_text(n, OLD_VERSION));
        }
        let begin_ms = self.elapsed_ms();
        let bytes_before = self.relay.bytes.load(Ordering::Relaxed);
        thread::scope(|scope| {
            scope.spawn(|| self.restart_crashed_members());
            for client in 0..CLIENTS {
                scope.spawn(move || self.run_client(client));
            }
            if !self.options.uncoordinated {
                self.request_release();
            }
            let supervisors: Vec<_> = (0..self.places.len())
                .map(|n| scope.spawn(move || self.supervise(n)))
                .collect();
            scope.spawn(|| self.inject_faults(begin_ms));
            self.await_release(begin_ms, || {
                supervisors
                    .iter()
                    .all(thread::ScopedJoinHandle::is_finished)
            });
            self.over.store(true, Ordering::Relaxed);
        });
        self.complete_report(begin_ms, bytes_before)
    }

    /// Waits until all members are healthy or their time is over, which is a violation. False where another program
    /// took an address.
    fn await_all_healthy(&self) -> bool {
        let from = Instant::now();
        while !(0..self.places.len()).all(|n| self.is_healthy(n)) {
            if self.log_files.iter().any(member::reports_taken_address) {
                return false;
            }
            if from.elapsed() > START_TIMEOUT {
                self.record_violation("not all healthy after 20 s".into());
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Waits until all supervisors are done or the release's time is over, and takes down which.
    fn await_release(&self, begin_ms: f64, all_released: impl Fn() -> bool) {
        let last_fault_ms = self.scenario.last_fault_ms();
        let limit_ms = last_fault_ms + self.scenario.done_within;
        let limit = Duration::from_secs_f64(limit_ms / 1000.0);
        let from = Instant::now();
        let mut last_check = Instant::now();
        while !all_released() && from.elapsed() < limit {
            thread::sleep(POLL_INTERVAL);
            let faults_over = self.elapsed_ms() - begin_ms > last_fault_ms + 2000.0;
            if faults_over
                && !self.options.uncoordinated
                && last_check.elapsed() > OPERATOR_CHECK_INTERVAL
            {
                last_check = Instant::now();
                self.attend_release();
            }
        }
        let completed_ms = self.elapsed_ms() - begin_ms;
        // Faults that are still to come have their time.
        while self.elapsed_ms() - begin_ms < last_fault_ms + 500.0 {
            thread::sleep(POLL_INTERVAL);
        }
        let in_time = completed_ms < limit.as_secs_f64() * 1000.0;
        let mut report = self.report();
        report.completed_after_ms = in_time.then_some(completed_ms);
        if !in_time {
            report.violations.push(format!(
                "not all released {:.0} s after the last fault",
                self.scenario.done_within / 1e3
            ));
        }
    }

    fn complete_report(&self, begin_ms: f64, bytes_before: u64) -> FleetReport {
        let mut report = self.report().clone();
        let lasted_s = (self.elapsed_ms() - begin_ms) / 1000.0;
        let bytes = self.relay.bytes.load(Ordering::Relaxed) - bytes_before;
        report.bytes_per_s = bytes as f64 / lasted_s / self.places.len() as f64;
        report.released = (0..self.places.len())
            .filter(|n| self.place(*n).version == NEW_VERSION)
            .count();
        report.requests_ok = self.requests_ok.load(Ordering::Relaxed);
        report.requests = self.requests.load(Ordering::Relaxed);
        let unanswered = self.unanswered.load(Ordering::Relaxed);
        if unanswered > 0 {
            report.violations.push(format!(
                "{unanswered} queries without an answer from a process that lived"
            ));
        }
        report
    }

    fn request_release(&self) {
        let from = Instant::now();
        loop {
            let answer = self.fleet_command(0, &["release", NEW_VERSION, "--from", OLD_VERSION]);
            if answer.code == Some(0) || answer.text.contains("under way") {
                return;
            }
            if from.elapsed() > START_TIMEOUT {
                let text = answer.text;
                return self.record_violation(format!("the release did not begin: {text}"));
            }
            thread::sleep(Duration::from_millis(300));
        }
    }

    /// Operators resume what the fleet halted by itself, and request the release again where all who knew of it have
    /// lost their memory.
    fn attend_release(&self) {
        let Some(at) = (0..self.places.len()).find(|n| self.is_healthy(*n)) else {
            return;
        };
        let status = self.fleet_command(at, &["status"]);
        if status.code != Some(0) {
            return;
        }
        if !status.text.contains("halted no") {
            let now_ms = self.elapsed_ms();
            self.report().halted_after_ms.get_or_insert(now_ms);
            self.fleet_command(at, &["resume"]);
        }
        if !status.text.contains("\nrelease") {
            self.fleet_command(at, &["release", NEW_VERSION, "--from", OLD_VERSION]);
        }
    }
}
