//! A scenario on real processes of the program, each with an operators' file of its own and a relay on every link.
//! Stalls and crashes reach only processes that this run started and holds.
//!
//! Start reading at [`run`], then at `FleetRun::run`.

mod clients;
mod faults;
mod members;
mod operator_file;
mod slot;
mod supervisor;

use super::dispatcher_setup::DispatcherSetup;
use super::relay::{start_engine_links, EngineLink, Relay};
use super::scenario::Scenario;
use super::FleetReport;
use crate::engine::{Engine, EngineSpec, RunContext};
use crate::program::free_address;
use crate::setup::start_engines;
use clients::RequestCounts;
use members::{CommandAnswer, MemberProcesses};
use operator_file::Voters;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The version that all members start with.
const OLD_VERSION: &str = "v1";
/// The version that the release installs.
const NEW_VERSION: &str = "v2";
/// Interval at which threads of a run check for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// All members must be healthy this long after their start, and the release must begin in the same time.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the operators' checks on a release, once the faults are over.
const OPERATOR_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Operators do not check on a release before this long after the last fault (ms).
const OPERATORS_RETURN_MS: f64 = 2000.0;
/// A run lasts at least this long after the last fault (ms).
const MIN_CALM_MS: f64 = 500.0;
/// Pause between two requests of a release that is not accepted yet.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The most set-ups of a run in which another program took an address.
const MAX_SETUPS: usize = 3;
/// Clients of the fleet.
const CLIENTS: u64 = 3;

/// How a scenario runs on processes.
#[derive(Debug, Clone, Default)]
pub struct ProcessOptions {
    /// Supervisors restart without a lease, for comparison.
    pub uncoordinated: bool,
    /// A folder for the processes' logs.
    pub logs: Option<PathBuf>,
}

/// Runs a scenario with processes of `exe`.
pub fn run(exe: &Path, scenario: &Scenario, options: &ProcessOptions) -> FleetReport {
    // Another program may take an address between the search for a free one and its use: such a run does not count.
    for _ in 0..MAX_SETUPS {
        match run_once(exe, scenario, options) {
            Some(report) => return report,
            None => eprintln!("an address was taken by another program: run repeated"),
        }
    }
    FleetReport {
        violations: vec!["no free addresses".into()],
        ..FleetReport::default()
    }
}

/// Runs a scenario once; returns none where another program took an address.
fn run_once(exe: &Path, scenario: &Scenario, options: &ProcessOptions) -> Option<FleetReport> {
    let context = Arc::new(RunContext::default());
    let engines = start_engines(scenario.engines, EngineSpec::default(), 0, &context);
    let run = FleetRun::new(exe, scenario.clone(), options, &engines);
    let report = run.run();
    for link in run.engine_links.iter().flatten() {
        link.stop();
    }
    for engine in &engines {
        engine.stop();
    }
    report
}

/// A run: what all its threads share.
struct FleetRun {
    scenario: Scenario,
    /// Supervisors restart without a lease.
    is_uncoordinated: bool,
    processes: MemberProcesses,
    relay: Relay,
    /// For each member, its links to the engines.
    engine_links: Vec<Vec<EngineLink>>,
    started: Instant,
    over: AtomicBool,
    /// Whether each member is out by a restart lease: the true state.
    out: Mutex<Vec<bool>>,
    /// Whether each engine is drained: the true state.
    drained: Mutex<Vec<bool>>,
    requests: RequestCounts,
    report: Mutex<FleetReport>,
}

impl FleetRun {
    /// Sets up the links and the members' configurations; no process runs yet.
    fn new(exe: &Path, scenario: Scenario, options: &ProcessOptions, engines: &[Engine]) -> Self {
        let members = scenario.members;
        let relay = Relay::start(members, scenario.late, scenario.seed);
        let engine_links = start_engine_links(members, engines);
        let listen: Vec<SocketAddr> = (0..members).map(|_| free_address()).collect();
        let configs = (0..members)
            .map(|member| {
                let setup = DispatcherSetup {
                    index: member,
                    seed: scenario.seed,
                    dispatchers: members,
                    zones: scenario.zones,
                    listen: listen[member],
                    engines,
                    links: &engine_links[member],
                };
                setup.config()
            })
            .collect();
        let operator_texts: Vec<String> = (0..members)
            .map(|member| {
                operator_file::text(&scenario, member, &relay, OLD_VERSION, Voters::Fresh)
            })
            .collect();
        FleetRun {
            is_uncoordinated: options.uncoordinated,
            processes: MemberProcesses::new(exe, options, listen, configs, &operator_texts),
            relay,
            engine_links,
            started: Instant::now(),
            over: AtomicBool::new(false),
            out: Mutex::new(vec![false; members]),
            drained: Mutex::new(vec![false; scenario.engines]),
            requests: RequestCounts::default(),
            report: Mutex::new(FleetReport::of_scenario(&scenario)),
            scenario,
        }
    }

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

    fn record_violation(&self, description: String) {
        self.report().violations.push(description);
    }

    /// The operators' file of a member once the fleet has begun.
    fn operator_text(&self, member: usize, version: &str) -> String {
        operator_file::text(&self.scenario, member, &self.relay, version, Voters::Begun)
    }

    /// The same with another limit of dispatchers out.
    fn operator_text_with_limit(&self, member: usize, version: &str, max_out: usize) -> String {
        let scenario = Scenario {
            max_out,
            ..self.scenario.clone()
        };
        operator_file::text(&scenario, member, &self.relay, version, Voters::Begun)
    }

    /// Runs the scenario: starts all members, then the release with faults, clients and supervisors at the same time.
    /// Returns none where another program took an address.
    fn run(&self) -> Option<FleetReport> {
        self.processes.start_all();
        if !self.await_all_healthy() {
            return None;
        }
        for member in 0..self.processes.len() {
            let text = self.operator_text(member, OLD_VERSION);
            self.processes.write_operator_file(member, &text);
        }
        let begin_ms = self.elapsed_ms();
        let bytes_before = self.relay.bytes.load(Ordering::Relaxed);
        thread::scope(|scope| {
            scope.spawn(|| self.restart_crashed_members());
            for client in 0..CLIENTS {
                scope.spawn(move || self.run_client(client));
            }
            if !self.is_uncoordinated {
                self.request_release();
            }
            let supervisors: Vec<_> = (0..self.processes.len())
                .map(|member| scope.spawn(move || self.supervise(member)))
                .collect();
            scope.spawn(|| self.inject_faults(begin_ms));
            self.await_release(begin_ms, || {
                supervisors
                    .iter()
                    .all(thread::ScopedJoinHandle::is_finished)
            });
            self.over.store(true, Ordering::Relaxed);
        });
        Some(self.complete_report(begin_ms, bytes_before))
    }

    fn are_all_healthy(&self) -> bool {
        (0..self.processes.len()).all(|member| self.processes.is_healthy(member))
    }

    /// Waits until all members are healthy; it is a violation if they are not in time. Returns false where another
    /// program took an address.
    fn await_all_healthy(&self) -> bool {
        let from = Instant::now();
        while !self.are_all_healthy() {
            if self.processes.has_taken_address() {
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

    /// Starts crashed members again, each once its time has come, and checks how processes end.
    fn restart_crashed_members(&self) {
        while !self.is_over() {
            thread::sleep(POLL_INTERVAL);
            for member in 0..self.processes.len() {
                let mut slot = self.processes.slot(member);
                self.processes.restart_if_due(member, &mut slot);
                if let Some(violation) = self.processes.check_exit(member, &mut slot) {
                    self.record_violation(violation);
                }
            }
        }
    }

    /// Waits until all supervisors are done or the release's time is over, and records which.
    fn await_release(&self, begin_ms: f64, all_released: impl Fn() -> bool) {
        let last_fault_ms = self.scenario.last_fault_ms();
        let limit_ms = last_fault_ms + self.scenario.done_within;
        let limit = Duration::from_secs_f64(limit_ms / 1000.0);
        let from = Instant::now();
        let mut last_check = Instant::now();
        while !all_released() && from.elapsed() < limit {
            thread::sleep(POLL_INTERVAL);
            let faults_over = self.elapsed_ms() - begin_ms > last_fault_ms + OPERATORS_RETURN_MS;
            if faults_over
                && !self.is_uncoordinated
                && last_check.elapsed() > OPERATOR_CHECK_INTERVAL
            {
                last_check = Instant::now();
                self.attend_release();
            }
        }
        let completed_ms = self.elapsed_ms() - begin_ms;
        // Faults that are still to come are injected before the run ends.
        while self.elapsed_ms() - begin_ms < last_fault_ms + MIN_CALM_MS {
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
        report.bytes_per_s = bytes as f64 / lasted_s / self.processes.len() as f64;
        report.released = self.processes.count_on(NEW_VERSION);
        report.requests_ok = self.requests.completed.load(Ordering::Relaxed);
        report.requests = self.requests.asked.load(Ordering::Relaxed);
        let unanswered = self.requests.unanswered.load(Ordering::Relaxed);
        if unanswered > 0 {
            report.violations.push(format!(
                "{unanswered} queries without an answer from a process that lived"
            ));
        }
        report
    }

    fn issue_release(&self, at: usize) -> CommandAnswer {
        let arguments = ["release", NEW_VERSION, "--from", OLD_VERSION];
        self.processes.fleet_command(at, &arguments)
    }

    /// Requests the release until the fleet accepts it; a violation if that is not in time.
    fn request_release(&self) {
        let from = Instant::now();
        loop {
            let answer = self.issue_release(0);
            if answer.code == Some(0) || answer.text.contains("under way") {
                return;
            }
            if from.elapsed() > START_TIMEOUT {
                let text = answer.text;
                return self.record_violation(format!("the release did not begin: {text}"));
            }
            thread::sleep(RELEASE_RETRY_INTERVAL);
        }
    }

    /// Operators resume what the fleet halted on its own, and request the release again where all members that knew of
    /// it have lost their memory.
    fn attend_release(&self) {
        let healthy = (0..self.processes.len()).find(|member| self.processes.is_healthy(*member));
        let Some(at) = healthy else {
            return;
        };
        let status = self.processes.fleet_command(at, &["status"]);
        if status.code != Some(0) {
            return;
        }
        if !status.text.contains("halted no") {
            let now_ms = self.elapsed_ms();
            self.report().halted_after_ms.get_or_insert(now_ms);
            self.processes.fleet_command(at, &["resume"]);
        }
        if !status.text.contains("\nrelease") {
            self.issue_release(at);
        }
    }
}
