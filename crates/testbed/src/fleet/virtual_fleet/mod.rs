//! A fleet of dispatchers in virtual time, around the same `tansymux_rollout::FleetNode` that the program drives.
//!
//! Owns: the true clock, every member's own clock and process state, the network between members, the supervisors that
//! restart dispatchers under a lease and the operators that issue commands. It checks the limits at every step against
//! what its own supervisors did, never against what a member reports.
//!
//! Start reading at [`VirtualFleet::run_until`].

mod diagnostics;
mod faults;
mod member;
mod network;
mod operators;
mod run;
mod settings;
mod supervisor;

pub use settings::{coordination_settings, fleet_definition};

use super::scenario::{Fault, LinkConditions, Scenario};
use super::FleetReport;
use member::Member;
use network::Network;
use operators::Operator;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use supervisor::Supervisor;
use tansymux_coordination::disruption_budget::HaltReason;
use tansymux_coordination::ReleaseStage;
use tansymux_rollout::message::Answer;
use tansymux_rollout::RolloutConfig;

/// Virtual time of one step (ms).
const STEP_MS: f64 = 10.0;
/// The number of the release that every scenario plays.
const RELEASE_NUMBER: u32 = 77;
/// The version that all members start with, and the one that they are released to.
const OLD_VERSION: u32 = 1;
const NEW_VERSION: u32 = 2;
/// How long after its change a new limit or a halt may still be unknown to a supervisor that has just been granted a
/// lease (ms), on good links and where the scenario makes links lossy.
const PROPAGATION_GOOD_LINKS_MS: f64 = 1000.0;
const PROPAGATION_LOSSY_LINKS_MS: f64 = 7000.0;
/// Time for members to join and elect a leader before the release begins (ms), beside the voters' quarantine.
const SETTLING_MS: f64 = 20_000.0;

/// How well each version answers requests, and under which load: what the release's comparison sees.
#[derive(Debug, Clone, Copy, Default)]
pub struct VersionQuality {
    /// Fraction of requests that the old version answers well.
    pub old_success: f64,
    /// The same of the new version, once it is degraded.
    pub new_success: f64,
    /// Requests a second to each member.
    pub requests_per_s: f64,
    /// Until then (ms after the release's begin) the new version is as good as the old one.
    pub degraded_after_ms: f64,
}

/// The limit of dispatchers out at a time, and since when it holds (true ms).
#[derive(Debug, Clone, Copy)]
struct LimitInForce {
    max_out: usize,
    since_ms: f64,
}

/// A second release that is requested while the first one runs.
#[derive(Debug, Clone, Copy)]
struct SecondRelease {
    at: usize,
    number: u32,
}

/// A fleet, its network, its supervisors and its operators in virtual time.
pub struct VirtualFleet {
    scenario: Scenario,
    definition: RolloutConfig,
    quality: VersionQuality,
    members: Vec<Member>,
    supervisors: Vec<Supervisor>,
    operators: Vec<Operator>,
    /// Engines that an operator drained with permission.
    drained: Vec<bool>,
    network: Network,
    rng: Pcg32,
    now_ms: f64,
    release_at_ms: f64,
    limit: LimitInForce,
    /// The number of the last halt that an operator asked for.
    last_halt: Option<u32>,
    /// When an operator was told that a halt is done.
    halted_since_ms: Option<f64>,
    /// How long after a change a lease may still be granted without knowing of it (ms).
    propagation_ms: f64,
    rolling_back: bool,
    second_release: Option<SecondRelease>,
    crash_before_release: Vec<usize>,
    /// Answers that operators got, in their order.
    pub answers: Vec<Answer>,
    /// Whether operators resume a halted release once the faults are over.
    pub operators_resume: bool,
    /// Supervisors restart without a lease: the fleet without agreement, for comparison.
    pub uncoordinated: bool,
    /// Waits for a lease that were given up.
    pub abandoned_waits: usize,
    /// What was observed so far.
    pub report: FleetReport,
}

impl VirtualFleet {
    /// A fleet at true time 0, with no member running yet. All randomness comes from the scenario's seed.
    pub fn new(scenario: Scenario, definition: RolloutConfig, quality: VersionQuality) -> Self {
        let mut rng = Pcg32::seed_from_u64(scenario.seed);
        let members = (0..scenario.members)
            .map(|_| Member::new(&mut rng))
            .collect();
        let release_at_ms = coordination_settings(&scenario).quarantine_ms() * 1.05 + SETTLING_MS;
        let supervisors = (0..scenario.members)
            .map(|_| Supervisor::Idle {
                until_ms: release_at_ms,
            })
            .collect();
        let lossy = scenario.events.iter().any(
            |event| matches!(event.what, Fault::Links(links) if links != LinkConditions::GOOD),
        );
        VirtualFleet {
            members,
            supervisors,
            operators: Vec::new(),
            drained: vec![false; scenario.engines],
            network: Network::default(),
            rng,
            now_ms: 0.0,
            release_at_ms,
            limit: LimitInForce {
                max_out: scenario.max_out,
                since_ms: 0.0,
            },
            last_halt: None,
            halted_since_ms: None,
            propagation_ms: if lossy {
                PROPAGATION_LOSSY_LINKS_MS
            } else {
                PROPAGATION_GOOD_LINKS_MS
            },
            rolling_back: false,
            second_release: None,
            crash_before_release: Vec::new(),
            answers: Vec::new(),
            operators_resume: true,
            uncoordinated: false,
            abandoned_waits: 0,
            report: FleetReport::of_scenario(&scenario),
            quality,
            definition,
            scenario,
        }
    }

    /// One step of the true clock: datagrams arrive, then members, operators and supervisors run, and limits are checked.
    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver_due_datagrams();
        for n in 0..self.members.len() {
            if self.members[n]
                .restart_at_ms
                .is_some_and(|restart_at_ms| self.now_ms >= restart_at_ms)
            {
                self.start_member(n);
            }
            self.poll_member(n);
        }
        self.poll_operators();
        for n in 0..self.supervisors.len() {
            self.poll_supervisor(n);
        }
        let out = self.count_out();
        self.report.record_out(out);
        let drained = self.drained.iter().filter(|drained| **drained).count();
        self.report.record_drained(drained);
    }

    /// Dispatchers that are out by a restart lease, whether they still run or not.
    fn count_out(&self) -> usize {
        self.supervisors
            .iter()
            .filter(|supervisor| supervisor.is_out())
            .count()
    }

    /// The version that supervisors want to run.
    fn wanted_version(&self) -> u32 {
        if self.rolling_back {
            OLD_VERSION
        } else {
            NEW_VERSION
        }
    }

    /// Members that run the wanted version.
    pub fn released_count(&self) -> usize {
        let wanted = self.wanted_version();
        self.members
            .iter()
            .filter(|member| member.version == wanted && member.is_running())
            .count()
    }

    /// The member that leads, where one does.
    fn leader(&self) -> Option<usize> {
        self.members.iter().position(Member::is_leader)
    }

    /// The release's phase as the leader knows it.
    pub fn stage(&self) -> Option<ReleaseStage> {
        let leader = self.members[self.leader()?].fleet.as_ref()?;
        tansymux_rollout::active_release(leader.quorum()?).map(|release| release.stage)
    }

    /// Why the release is halted, as the leader knows it.
    pub fn halt_reason(&self) -> Option<HaltReason> {
        let leader = self.members[self.leader()?].fleet.as_ref()?;
        tansymux_rollout::active_halt(leader.quorum()?).map(|halt| halt.reason)
    }
}
