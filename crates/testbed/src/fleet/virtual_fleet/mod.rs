//! A fleet of dispatchers in virtual time, around the same `tansymux_rollout::FleetNode` that the program uses.
//!
//! It owns true time and the network (`environment`), each member's clock and process state (`members`), the
//! supervisors that restart dispatchers under a lease (`supervisors`) and the operators that issue commands
//! (`operators`). At every step it checks the limits against the actions of its own supervisors and operators, never
//! against members' reports.
//!
//! Start reading at [`VirtualFleet::run_until`].

mod diagnostics;
mod environment;
mod faults;
mod limits;
mod member;
mod members;
mod network;
mod operators;
mod run;
mod settings;
mod supervisors;

pub use settings::{coordination_settings, fleet_definition};

use super::scenario::{Fault, LinkConditions, Scenario};
use super::FleetReport;
use environment::Environment;
use limits::LimitsInForce;
use member::Member;
use members::Members;
use operators::Operators;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use settings::{member_address, supervisor_address};
use supervisors::Supervisors;
use tansymux_coordination::disruption_budget::HaltReason;
use tansymux_coordination::ReleaseStage;
use tansymux_rollout::message::{Answer, Command};
use tansymux_rollout::RolloutConfig;

/// Virtual time of one step (ms).
const STEP_MS: f64 = 10.0;
/// The number of the release that every scenario runs.
const RELEASE_NUMBER: u32 = 77;
/// The version that all members start with.
const OLD_VERSION: u32 = 1;
/// The version that the release installs.
const NEW_VERSION: u32 = 2;
/// Time for members to join and elect a leader before the release starts (ms), in addition to the voters' quarantine.
const SETTLING_MS: f64 = 20_000.0;
/// Factor on the duration of the voters' quarantine, which they measure by clocks that may be slow.
const QUARANTINE_MARGIN: f64 = 1.05;

/// The success rate of each version and the load, from which the release compares the versions.
#[derive(Debug, Clone, Copy, Default)]
pub struct VersionQuality {
    /// Fraction of requests that succeed on the old version.
    pub old_success: f64,
    /// Fraction of requests that succeed on the new version, once it is degraded.
    pub new_success: f64,
    /// Requests per second to each member.
    pub requests_per_s: f64,
    /// Time from which the new version is degraded (ms after the start of the release). Before, it is as good as the
    /// old version.
    pub degraded_after_ms: f64,
}

/// A second release that is requested while the first one runs.
#[derive(Debug, Clone, Copy)]
struct SecondRelease {
    at: usize,
    number: u32,
}

/// A fleet, its network, its supervisors and its operators in virtual time.
pub struct VirtualFleet {
    environment: Environment,
    members: Members,
    supervisors: Supervisors,
    operators: Operators,
    limits: LimitsInForce,
    /// Start of the release (true ms).
    release_at_ms: f64,
    /// The number of the last halt that an operator requested.
    last_halt: Option<u32>,
    second_release: Option<SecondRelease>,
    crash_before_release: Vec<usize>,
    operators_resume: bool,
}

/// Whether a scenario sets any link conditions other than `GOOD`.
fn has_lossy_links(scenario: &Scenario) -> bool {
    scenario
        .events
        .iter()
        .any(|event| matches!(event.what, Fault::Links(links) if links != LinkConditions::GOOD))
}

impl VirtualFleet {
    /// A fleet at true time 0, with no member running yet. All randomness comes from the scenario's seed.
    pub fn new(scenario: Scenario, definition: RolloutConfig, quality: VersionQuality) -> Self {
        let mut rng = Pcg32::seed_from_u64(scenario.seed);
        let members = (0..scenario.members)
            .map(|index| Member::new(index, &mut rng))
            .collect();
        let quarantine_ms = coordination_settings(&scenario).quarantine_ms();
        let release_at_ms = quarantine_ms * QUARANTINE_MARGIN + SETTLING_MS;
        VirtualFleet {
            members: Members::new(members, definition, quality, release_at_ms),
            supervisors: Supervisors::new(scenario.members, release_at_ms),
            operators: Operators::new(scenario.engines),
            limits: LimitsInForce::new(scenario.max_out, has_lossy_links(&scenario)),
            release_at_ms,
            last_halt: None,
            second_release: None,
            crash_before_release: Vec::new(),
            operators_resume: true,
            environment: Environment::new(scenario, rng),
        }
    }

    /// Sets whether supervisors restart dispatchers without a lease, for comparison.
    pub fn set_uncoordinated(&mut self, is_uncoordinated: bool) {
        self.supervisors.set_uncoordinated(is_uncoordinated);
    }

    /// Sets whether operators resume a halted release once the faults are over. By default they do.
    pub fn set_operators_resume(&mut self, operators_resume: bool) {
        self.operators_resume = operators_resume;
    }

    /// Requests a second release at member `at`, at the same time as the scenario's release.
    pub fn request_second_release(&mut self, at: usize, number: u32) {
        self.second_release = Some(SecondRelease { at, number });
    }

    /// Delays the start of all but the first `first` members until `after_ms` after the start of the release.
    pub fn start_late(&mut self, first: usize, after_ms: f64) {
        let start_ms = self.release_at_ms + after_ms;
        for index in first..self.members.len() {
            self.members.member_mut(index).start_at(start_ms);
        }
    }

    /// Makes these members crash shortly before the release, without a restart.
    pub fn crash_before_release(&mut self, members: &[usize]) {
        self.crash_before_release = members.to_vec();
    }

    /// The observations up to now.
    pub fn report(&self) -> &FleetReport {
        &self.environment.report
    }

    /// Answers that operators received, in order.
    pub fn answers(&self) -> &[Answer] {
        self.operators.answers()
    }

    /// Number of times that a supervisor's wait for a lease timed out.
    pub fn abandoned_waits(&self) -> usize {
        self.supervisors.abandoned_waits()
    }

    /// Text that describes the members' state, for the analysis of a failed run.
    pub fn diagnostics(&self) -> String {
        diagnostics::describe(&self.members, self.environment.now_ms)
    }

    /// Number of members that run the version that supervisors want.
    pub fn released_count(&self) -> usize {
        self.members
            .running_count(self.supervisors.wanted_version())
    }

    /// The stage of the release as the leader knows it.
    pub fn stage(&self) -> Option<ReleaseStage> {
        let quorum = self.members.leader_quorum()?;
        tansymux_rollout::active_release(quorum).map(|release| release.stage)
    }

    /// Why the release is halted, as the leader knows it.
    pub fn halt_reason(&self) -> Option<HaltReason> {
        let quorum = self.members.leader_quorum()?;
        tansymux_rollout::active_halt(quorum).map(|halt| halt.reason)
    }

    /// Issues an operator's command at a member.
    fn issue_command(&mut self, at: usize, command: Command) {
        if matches!(command, Command::Resume { .. } | Command::RollBack { .. }) {
            self.limits.lift_halt();
        }
        self.operators
            .issue(at, command, None, &self.members, &mut self.environment);
    }

    /// Advances true time by one step: delivers datagrams, polls members, operators and supervisors, and checks the
    /// limits.
    fn step(&mut self) {
        self.environment.now_ms += STEP_MS;
        self.deliver_due_datagrams();
        self.members.poll(&mut self.environment);
        self.operators
            .poll(&self.members, &mut self.limits, &mut self.environment);
        self.supervisors
            .poll(&mut self.members, &self.limits, &mut self.environment);
        let report = &mut self.environment.report;
        report.record_out(self.supervisors.count_out());
        report.record_drained(self.operators.count_drained());
    }

    /// Delivers all datagrams that are due. Supervisors and operators use their host's clock, and receive datagrams
    /// also while the host's dispatcher is down.
    fn deliver_due_datagrams(&mut self) {
        let now_ms = self.environment.now_ms;
        for datagram in self.environment.network.take_arrived(now_ms) {
            let host = datagram.host;
            let destination = datagram.destination;
            if destination.port() == member_address(host).port() {
                let member = self.members.member_mut(host);
                member.deliver(datagram.source, datagram.bytes, now_ms);
            } else if destination == supervisor_address(host) {
                let host_ms = self.members.member(host).host_clock_ms(now_ms);
                self.supervisors.deliver(host, &datagram.bytes, host_ms);
            } else {
                self.operators.deliver(destination.port(), &datagram.bytes);
            }
        }
    }
}
