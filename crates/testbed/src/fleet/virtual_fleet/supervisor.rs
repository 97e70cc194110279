//! Supervisors: each restarts its dispatcher on the wanted version, under a restart lease of the fleet.

use super::member::due_datagrams;
use super::settings::{keys, member_address, supervisor_address};
use super::VirtualFleet;
use rand::RngExt;
use tansymux_membership::member_id_of;
use tansymux_rollout::{ClientAction, FleetEvent, LeaseOutcome, LeaseRequest, RestartLease};

/// How far a supervisor's clock may be off, as a fraction.
const MAX_CLOCK_SKEW: f64 = 0.02;
/// How long a supervisor waits for a lease before it gives up and rests (host's ms).
const LEASE_PATIENCE_MS: f64 = 20_000.0;
/// A prompt script begins its restart so long after the grant (ms).
const PROMPT_RESTART_MS: f64 = 300.0;

/// What a supervisor does at the moment.
pub(super) enum Supervisor {
    /// Waits until a time, and then for its dispatcher to be on another version than the wanted one.
    Idle { until_ms: f64 },
    AwaitingLease {
        lease: Box<RestartLease>,
        since_ms: f64,
        version: u32,
    },
    /// Holds a lease, and ends the process at a time within it.
    HoldsLease {
        restart_ms: f64,
        version: u32,
        lease: u64,
    },
    /// The process is down, or starting on the new version.
    Restarting { version: u32 },
}

impl Supervisor {
    /// Whether its dispatcher counts as out.
    pub fn is_out(&self) -> bool {
        matches!(
            self,
            Supervisor::HoldsLease { .. } | Supervisor::Restarting { .. }
        )
    }
}

impl VirtualFleet {
    pub(super) fn poll_supervisor(&mut self, n: usize) {
        match &self.supervisors[n] {
            Supervisor::Idle { until_ms } => {
                let due = self.now_ms >= *until_ms;
                let wants_restart = self.members[n].version != self.wanted_version()
                    && self.members[n].is_running();
                if due && wants_restart {
                    self.begin_restart(n);
                }
            }
            Supervisor::AwaitingLease { .. } => self.await_lease(n),
            Supervisor::HoldsLease {
                restart_ms,
                version,
                lease,
            } => {
                if self.now_ms >= *restart_ms {
                    self.restart_member(n, *version, *lease);
                }
            }
            Supervisor::Restarting { version } => {
                if self.members[n].is_running() && self.members[n].version == *version {
                    self.supervisors[n] = Supervisor::Idle {
                        until_ms: self.now_ms,
                    };
                }
            }
        }
    }

    /// Asks for a lease, or without coordination picks a time of its own.
    fn begin_restart(&mut self, n: usize) {
        let version = self.wanted_version();
        if self.uncoordinated {
            let wait_ms = self.rng.random_range(0.0..self.scenario.down * 3.0);
            self.supervisors[n] = Supervisor::HoldsLease {
                restart_ms: self.now_ms + wait_ms,
                version,
                lease: 0,
            };
            return;
        }
        let request = LeaseRequest {
            keys: keys(),
            dispatcher: member_id_of(&format!("n{n}")),
            to: version,
            max_clock_skew: MAX_CLOCK_SKEW,
            max_wait_ms: LEASE_PATIENCE_MS,
        };
        let host_ms = self.members[n].host_clock_ms(self.now_ms);
        let lease = RestartLease::new(request, host_ms, self.rng.random());
        self.supervisors[n] = Supervisor::AwaitingLease {
            lease: Box::new(lease),
            since_ms: self.now_ms,
            version,
        };
    }

    fn await_lease(&mut self, n: usize) {
        let host_ms = self.members[n].host_clock_ms(self.now_ms);
        let Supervisor::AwaitingLease {
            lease,
            since_ms,
            version,
        } = &mut self.supervisors[n]
        else {
            return;
        };
        let since_ms = *since_ms;
        let version = *version;
        let action = lease.poll(host_ms);
        let outcome = lease.outcome();
        let lease = lease.grant_id();
        if let Some(ClientAction::Send { datagram }) = action {
            self.send_datagram(n, supervisor_address(n), member_address(n), datagram);
        }
        match outcome {
            Some(LeaseOutcome::Granted { until_ms }) => {
                self.report.lease_waits_ms.push(self.now_ms - since_ms);
                self.check_grant();
                let wait_ms = self.draw_restart_delay_ms(n, until_ms - host_ms);
                self.supervisors[n] = Supervisor::HoldsLease {
                    restart_ms: self.now_ms + wait_ms,
                    version,
                    lease,
                };
            }
            Some(outcome) => {
                self.abandoned_waits += usize::from(matches!(outcome, LeaseOutcome::TimedOut(_)));
                let cooldown_ms = self.rng.random_range(500.0..2500.0);
                self.supervisors[n] = Supervisor::Idle {
                    until_ms: self.now_ms + cooldown_ms,
                };
            }
            None => {}
        }
    }

    /// Checks that a lease granted now respects the limit and any halt that had time to reach everybody.
    fn check_grant(&mut self) {
        let out = self.count_out();
        let limit = self.limit;
        if out + 1 > limit.max_out && self.now_ms > limit.since_ms + self.propagation_ms {
            self.report.violations.push(format!(
                "a turn with {out} out, {} are allowed by now",
                limit.max_out
            ));
        }
        if self
            .halted_since_ms
            .is_some_and(|since_ms| self.now_ms > since_ms + self.propagation_ms)
        {
            self.report.violations.push("a turn after a halt".into());
        }
    }

    /// How long a script takes to begin the restart (true ms). One in five is slow and begins at the very end of its lease.
    fn draw_restart_delay_ms(&mut self, n: usize, lease_left_host_ms: f64) -> f64 {
        let latest_ms = self.members[n].true_span_ms(lease_left_host_ms).max(0.0);
        if self.rng.random_bool(0.2) {
            latest_ms * 0.98
        } else {
            latest_ms.min(PROMPT_RESTART_MS)
        }
    }

    /// Ends the process, which says goodbye four times of five, and starts it on another version.
    fn restart_member(&mut self, n: usize, version: u32, lease: u64) {
        let process_ms = self.members[n].process_clock_ms(self.now_ms);
        let orderly = self.rng.random_bool(0.8);
        if let Some(fleet) = self.members[n].fleet.as_mut().filter(|_| orderly) {
            fleet.handle(FleetEvent::LeaveRequested, process_ms);
            let datagrams = due_datagrams(fleet, process_ms);
            for (to, bytes) in datagrams {
                self.send_datagram(n, member_address(n), to, bytes);
            }
        }
        let down_ms = self.scenario.down * self.rng.random_range(0.5..1.5);
        self.members[n].version = version;
        self.members[n].lease_at_start = lease;
        self.stop_member(n, down_ms);
        self.supervisors[n] = Supervisor::Restarting { version };
    }
}
