//! Runs a scenario on real processes of the program, each with a separate operators' file, and a relay on every link.
//! Stalls and crashes affect only processes that this run started.
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
use operator_file::VoterState;
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
/// Time limit for all members to become healthy, and for the fleet to accept the release.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the operators' checks on a release, once the faults are over.
const OPERATOR_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Time after the last fault before operators start to check on the release (ms).
const OPERATORS_RETURN_MS: f64 = 2000.0;
/// Minimum duration of a run after the last fault (ms).
const MIN_CALM_MS: f64 = 500.0;
/// Interval between requests for a release until the fleet accepts it.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of times that a run is set up. It is set up again if another program took one of its addresses.
const MAX_SETUPS: usize = 3;
/// Number of clients.
const CLIENTS: u64 = 3;

/// Options of a run on processes.
#[derive(Debug, Clone, Default)]
pub struct ProcessOptions {
    /// Whether supervisors restart dispatchers without a lease, for comparison.
    pub uncoordinated: bool,
    /// The folder for the processes' logs; without one, they are not kept after the run.
    pub logs: Option<PathBuf>,
}

/// Runs a scenario with processes of `exe`.
pub fn run(exe: &Path, scenario: &Scenario, options: &ProcessOptions) -> FleetReport {
    // Another program may take an address between the search for a free one and its use. Such a run is repeated.
    for _ in 0..MAX_SETUPS {
        match run_once(exe, scenario, options) {
            Some(report) => return report,
            None => eprintln!("another program took an address of the fleet; run discarded"),
        }
    }
    FleetReport {
        violations: vec!["another program took an address in every set-up of the run".into()],
        ..FleetReport::default()
    }
}

/// Runs a scenario once. Returns `None` if another program took an address.
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

/// The state of one run, shared by its threads.
struct FleetRun {
    scenario: Scenario,
    /// Whether supervisors restart dispatchers without a lease.
    is_uncoordinated: bool,
    processes: MemberProcesses,
    relay: Relay,
    /// For each member, its links to the engines.
    engine_links: Vec<Vec<EngineLink>>,
    started: Instant,
    over: AtomicBool,
    /// For each member, whether it is out under a restart lease, as recorded by its supervisor.
    out: Mutex<Vec<bool>>,
    /// For each engine, whether an operator drained it with permission.
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
                operator_file::text(&scenario, member, &relay, OLD_VERSION, VoterState::Fresh)
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
        self.report.lock().expect("the lock is not poisoned")
    }

    fn record_violation(&self, description: String) {
        self.report().violations.push(description);
    }

    /// The text of a member's operators' file once the fleet has been started.
    fn operator_text(&self, member: usize, version: &str) -> String {
        operator_file::text(
            &self.scenario,
            member,
            &self.relay,
            version,
            VoterState::Restarted,
        )
    }

    /// The same text with a different limit on dispatchers out.
    fn operator_text_with_limit(&self, member: usize, version: &str, max_out: usize) -> String {
        let scenario = Scenario {
            max_out,
            ..self.scenario.clone()
        };
        operator_file::text(
            &scenario,
            member,
            &self.relay,
            version,
            VoterState::Restarted,
        )
    }

    /// Starts all members, then runs the release, faults, clients and supervisors concurrently. Returns `None` if
    /// another program took an address.
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

    /// Waits until all members are healthy. Records a violation if this takes longer than `START_TIMEOUT`. Returns
    /// false if another program took an address.
    fn await_all_healthy(&self) -> bool {
        let start = Instant::now();
        while !self.are_all_healthy() {
            if self.processes.is_any_address_taken() {
                return false;
            }
            if start.elapsed() > START_TIMEOUT {
                self.record_violation("not all healthy after 20 s".into());
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Starts crashed members again when their restart is due, and records a violation for each process that fails.
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

    /// Waits until all supervisors have finished or the release's time limit has passed. Records the completion time
    /// or a violation.
    fn await_release(&self, begin_ms: f64, all_released: impl Fn() -> bool) {
        let last_fault_ms = self.scenario.last_fault_ms();
        let limit_ms = last_fault_ms + self.scenario.done_within;
        let limit = Duration::from_secs_f64(limit_ms / 1000.0);
        let start = Instant::now();
        let mut last_check = Instant::now();
        while !all_released() && start.elapsed() < limit {
            thread::sleep(POLL_INTERVAL);
            let faults_over = self.elapsed_ms() - begin_ms > last_fault_ms + OPERATORS_RETURN_MS;
            if faults_over
                && !self.is_uncoordinated
                && last_check.elapsed() > OPERATOR_CHECK_INTERVAL
            {
                last_check = Instant::now();
                self.check_release();
            }
        }
        let completed_ms = self.elapsed_ms() - begin_ms;
        // All remaining faults are injected before the run ends.
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
        let duration_s = (self.elapsed_ms() - begin_ms) / 1000.0;
        let bytes = self.relay.bytes.load(Ordering::Relaxed) - bytes_before;
        report.bytes_per_s = bytes as f64 / duration_s / self.processes.len() as f64;
        report.released = self.processes.count_on(NEW_VERSION);
        report.requests_ok = self.requests.completed.load(Ordering::Relaxed);
        report.requests = self.requests.sent.load(Ordering::Relaxed);
        let unanswered = self.requests.unanswered.load(Ordering::Relaxed);
        if unanswered > 0 {
            report.violations.push(format!(
                "{unanswered} queries not answered by a process that kept running"
            ));
        }
        report
    }

    fn issue_release(&self, at: usize) -> CommandAnswer {
        let arguments = ["release", NEW_VERSION, "--from", OLD_VERSION];
        self.processes.fleet_command(at, &arguments)
    }

    /// Requests the release until the fleet accepts it. Records a violation if this takes longer than
    /// `START_TIMEOUT`.
    fn request_release(&self) {
        let start = Instant::now();
        loop {
            let answer = self.issue_release(0);
            if answer.code == Some(0) || answer.text.contains("under way") {
                return;
            }
            if start.elapsed() > START_TIMEOUT {
                let text = answer.text;
                return self
                    .record_violation(format!("the fleet did not accept the release: {text}"));
            }
            thread::sleep(RELEASE_RETRY_INTERVAL);
        }
    }

    /// Acts for the operators: resumes the release if it is halted, and requests it again if all members that knew of
    /// it have lost their state.
    fn check_release(&self) {
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
