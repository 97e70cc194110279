//! Supervisors: each restarts its dispatcher on the wanted version, under a restart lease granted by the fleet.

use super::environment::Environment;
use super::limits::LimitsInForce;
use super::members::Members;
use super::settings::{keys, member_address, member_id, supervisor_address};
use super::{NEW_VERSION, OLD_VERSION};
use rand::RngExt;
use tansymux_rollout::message::Answer;
use tansymux_rollout::{ClientAction, LeaseOutcome, LeaseRequest, RestartLease};

/// Maximum rate error of a supervisor's clock, as a fraction.
const MAX_CLOCK_SKEW: f64 = 0.02;
/// Maximum wait of a supervisor for a lease before it pauses (ms of the host's clock).
const MAX_LEASE_WAIT_MS: f64 = 20_000.0;
/// Range of a supervisor's pause after a wait without a lease (ms).
const PAUSE_MS: std::ops::Range<f64> = 500.0..2500.0;
/// Delay of a prompt script between the grant and the restart (ms).
const PROMPT_RESTART_MS: f64 = 300.0;
/// Probability that a restart script is slow and begins the restart shortly before its lease ends.
const SLOW_SCRIPT_PROBABILITY: f64 = 0.2;
/// Fraction of the lease after which a slow script begins its restart.
const SLOW_SCRIPT_LEASE_FRACTION: f64 = 0.98;
/// Probability that a process announces its departure to the other members before it exits.
const GRACEFUL_EXIT_PROBABILITY: f64 = 0.8;

/// The state of a supervisor.
enum Supervisor {
    /// Waits until `until_ms`, and then until its dispatcher runs a version other than the wanted one.
    Idle { until_ms: f64 },
    /// Has requested a lease and waits for the fleet's answer.
    AwaitingLease {
        lease: Box<RestartLease>,
        since_ms: f64,
        version: u32,
    },
    /// Holds a lease, and restarts the process at `restart_ms`, which is within the lease.
    HoldsLease {
        restart_ms: f64,
        version: u32,
        lease: u64,
    },
    /// The process is down, or starting on `version`.
    Restarting { version: u32 },
}

impl Supervisor {
    /// Whether its dispatcher counts as out.
    fn is_out(&self) -> bool {
        matches!(
            self,
            Supervisor::HoldsLease { .. } | Supervisor::Restarting { .. }
        )
    }
}

/// The supervisors of all members.
pub(super) struct Supervisors {
    supervisors: Vec<Supervisor>,
    is_rolling_back: bool,
    is_uncoordinated: bool,
    abandoned_waits: usize,
}

impl Supervisors {
    /// A supervisor for each member, idle until `start_ms` (true ms).
    pub fn new(members: usize, start_ms: f64) -> Self {
        Supervisors {
            supervisors: (0..members)
                .map(|_| Supervisor::Idle { until_ms: start_ms })
                .collect(),
            is_rolling_back: false,
            is_uncoordinated: false,
            abandoned_waits: 0,
        }
    }

    /// Sets whether supervisors restart without a lease.
    pub fn set_uncoordinated(&mut self, is_uncoordinated: bool) {
        self.is_uncoordinated = is_uncoordinated;
    }

    /// Makes supervisors restart members on the old version from now on.
    pub fn roll_back(&mut self) {
        self.is_rolling_back = true;
    }

    /// The version that supervisors want members to run.
    pub fn wanted_version(&self) -> u32 {
        if self.is_rolling_back {
            OLD_VERSION
        } else {
            NEW_VERSION
        }
    }

    /// Number of times that a supervisor's wait for a lease timed out.
    pub fn abandoned_waits(&self) -> usize {
        self.abandoned_waits
    }

    /// Number of dispatchers that are out under a restart lease, whether their process still runs or not.
    pub fn count_out(&self) -> usize {
        self.supervisors
            .iter()
            .filter(|supervisor| supervisor.is_out())
            .count()
    }

    /// The first member whose supervisor holds a lease and has not stopped the process yet.
    pub fn first_holder(&self) -> Option<usize> {
        self.supervisors
            .iter()
            .position(|supervisor| matches!(supervisor, Supervisor::HoldsLease { .. }))
    }

    /// The last answer to each supervisor that waits for a lease.
    pub fn answers_to_waiting(&self) -> impl Iterator<Item = Answer> + '_ {
        self.supervisors
            .iter()
            .filter_map(|supervisor| match supervisor {
                Supervisor::AwaitingLease { lease, .. } => Some(lease.last_answer()),
                _ => None,
            })
    }

    /// Delivers a datagram to a member's supervisor, if it waits for an answer.
    pub fn deliver(&mut self, member: usize, bytes: &[u8], host_ms: f64) {
        if let Supervisor::AwaitingLease { lease, .. } = &mut self.supervisors[member] {
            lease.handle(bytes, host_ms);
        }
    }

    /// Polls all supervisors.
    pub fn poll(
        &mut self,
        members: &mut Members,
        limits: &LimitsInForce,
        environment: &mut Environment,
    ) {
        for index in 0..self.supervisors.len() {
            self.poll_one(index, members, limits, environment);
        }
    }

    fn poll_one(
        &mut self,
        index: usize,
        members: &mut Members,
        limits: &LimitsInForce,
        environment: &mut Environment,
    ) {
        let member = members.member(index);
        match self.supervisors[index] {
            Supervisor::Idle { until_ms } => {
                let is_due = environment.now_ms >= until_ms;
                let wants_restart =
                    member.version() != self.wanted_version() && member.is_running();
                if is_due && wants_restart {
                    self.begin_restart(index, members, environment);
                }
            }
            Supervisor::AwaitingLease { .. } => {
                self.await_lease(index, members, limits, environment);
            }
            Supervisor::HoldsLease {
                restart_ms,
                version,
                lease,
            } => {
                if environment.now_ms >= restart_ms {
                    restart_member(index, version, lease, members, environment);
                    self.supervisors[index] = Supervisor::Restarting { version };
                }
            }
            Supervisor::Restarting { version } => {
                if member.is_running() && member.version() == version {
                    self.supervisors[index] = Supervisor::Idle {
                        until_ms: environment.now_ms,
                    };
                }
            }
        }
    }

    /// Requests a lease. In an uncoordinated run, draws a time for the restart instead.
    fn begin_restart(&mut self, index: usize, members: &Members, environment: &mut Environment) {
        let version = self.wanted_version();
        if self.is_uncoordinated {
            let max_delay_ms = environment.scenario.down * 3.0;
            let delay_ms = environment.rng.random_range(0.0..max_delay_ms);
            self.supervisors[index] = Supervisor::HoldsLease {
                restart_ms: environment.now_ms + delay_ms,
                version,
                lease: 0,
            };
            return;
        }
        let request = LeaseRequest {
            keys: keys(),
            dispatcher: member_id(index),
            to: version,
            max_clock_skew: MAX_CLOCK_SKEW,
            max_wait_ms: MAX_LEASE_WAIT_MS,
        };
        let host_ms = members.member(index).host_clock_ms(environment.now_ms);
        let lease = RestartLease::new(request, host_ms, environment.rng.random());
        self.supervisors[index] = Supervisor::AwaitingLease {
            lease: Box::new(lease),
            since_ms: environment.now_ms,
            version,
        };
    }

    fn await_lease(
        &mut self,
        index: usize,
        members: &Members,
        limits: &LimitsInForce,
        environment: &mut Environment,
    ) {
        let host_ms = members.member(index).host_clock_ms(environment.now_ms);
        let Supervisor::AwaitingLease {
            lease,
            since_ms,
            version,
        } = &mut self.supervisors[index]
        else {
            return;
        };
        let (since_ms, version) = (*since_ms, *version);
        let action = lease.poll(host_ms);
        let outcome = lease.outcome();
        let lease = lease.grant_id();
        if let Some(ClientAction::Send { datagram }) = action {
            let source = supervisor_address(index);
            environment.send_datagram(index, source, member_address(index), datagram);
        }
        match outcome {
            Some(LeaseOutcome::Granted { until_ms }) => {
                let waited_ms = environment.now_ms - since_ms;
                environment.report.lease_waits_ms.push(waited_ms);
                limits.check_grant(self.count_out(), environment);
                let lease_left_ms = members.member(index).true_span_ms(until_ms - host_ms);
                let delay_ms = draw_restart_delay_ms(lease_left_ms, environment);
                self.supervisors[index] = Supervisor::HoldsLease {
                    restart_ms: environment.now_ms + delay_ms,
                    version,
                    lease,
                };
            }
            Some(outcome) => self.pause(index, outcome, environment),
            None => {}
        }
    }

    /// Pauses after a wait that ended without a lease.
    fn pause(&mut self, index: usize, outcome: LeaseOutcome, environment: &mut Environment) {
        let has_timed_out = matches!(outcome, LeaseOutcome::TimedOut(_));
        self.abandoned_waits += usize::from(has_timed_out);
        let pause_ms = environment.rng.random_range(PAUSE_MS);
        self.supervisors[index] = Supervisor::Idle {
            until_ms: environment.now_ms + pause_ms,
        };
    }
}

/// Draws the delay of a script between the grant and the restart (true ms). A slow script begins the restart shortly
/// before its lease ends.
fn draw_restart_delay_ms(lease_left_ms: f64, environment: &mut Environment) -> f64 {
    let latest_ms = lease_left_ms.max(0.0);
    if environment.rng.random_bool(SLOW_SCRIPT_PROBABILITY) {
        latest_ms * SLOW_SCRIPT_LEASE_FRACTION
    } else {
        latest_ms.min(PROMPT_RESTART_MS)
    }
}

/// Stops a member's process, in most cases after it has announced its departure, and schedules its start on another
/// version.
fn restart_member(
    index: usize,
    version: u32,
    lease: u64,
    members: &mut Members,
    environment: &mut Environment,
) {
    let member = members.member_mut(index);
    if environment.rng.random_bool(GRACEFUL_EXIT_PROBABILITY) {
        member.leave(environment);
    }
    let down_ms = environment.scenario.down * environment.rng.random_range(0.5..1.5);
    member.restart_on(version, lease, environment.now_ms + down_ms);
}
