//! Supervisors: each restarts its dispatcher on the new version, under a restart lease of the fleet.

use super::{FleetRun, NEW_VERSION, POLL_INTERVAL};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that a supervisor waits for its restarted dispatcher to become healthy.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between SIGTERM and SIGKILL. A process that is stopped by SIGSTOP does not handle SIGTERM.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Exit codes of `tansymux fleet turn` that report that no lease was granted, without an error.
const NO_LEASE_CODES: [i32; 3] = [0, 3, 4];
/// Probability that a restart script is slow and begins the restart shortly before its lease ends.
const SLOW_SCRIPT_PROBABILITY: f64 = 0.15;
/// Fraction of the lease after which a slow script begins its restart.
const SLOW_SCRIPT_LEASE_FRACTION: f64 = 0.9;
/// Delay of a prompt script between the grant and the restart (s), limited to half of the lease.
const PROMPT_RESTART_S: f64 = 0.1;

/// A granted restart lease. In an uncoordinated run its name is empty.
struct Lease {
    name: String,
    duration_s: f64,
}

/// The fleet's answer to a request for a lease.
enum LeaseAnswer {
    Granted(Lease),
    /// No lease is granted now; the supervisor retries later.
    Refused,
    /// The command failed with this message.
    Failed(String),
}

impl FleetRun {
    /// Restarts a member on the new version as soon as a lease is granted.
    pub(super) fn supervise(&self, member: usize) {
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed * 7919 + member as u64);
        let start_ms = self.elapsed_ms();
        while !self.is_over() {
            match self.acquire_lease(member, &mut rng) {
                LeaseAnswer::Granted(lease) => {
                    let waited_ms = self.elapsed_ms() - start_ms;
                    self.report().lease_waits_ms.push(waited_ms);
                    return self.restart_under_lease(member, &lease, &mut rng);
                }
                LeaseAnswer::Refused => {
                    thread::sleep(Duration::from_millis(rng.random_range(300..1200)));
                }
                LeaseAnswer::Failed(text) => return self.record_violation(text),
            }
        }
    }

    fn acquire_lease(&self, member: usize, rng: &mut Pcg32) -> LeaseAnswer {
        if self.is_uncoordinated {
            // Stands for a tool that restarts all members without waiting for any of them.
            let wait_ms = rng.random_range(0.0..self.scenario.down * 4.0);
            thread::sleep(Duration::from_secs_f64(wait_ms / 1000.0));
            return LeaseAnswer::Granted(Lease {
                name: String::new(),
                duration_s: 1.0,
            });
        }
        let arguments = ["turn", "--to", NEW_VERSION, "--wait-s", "15"];
        let answer = self.processes.fleet_command(member, &arguments);
        let mut words = answer.text.split_whitespace();
        let name = words.next();
        let duration_s = words.next().and_then(|word| word.parse().ok());
        match (answer.code, name, duration_s) {
            (Some(0), Some(name), Some(duration_s)) => LeaseAnswer::Granted(Lease {
                name: name.to_owned(),
                duration_s,
            }),
            (Some(code), _, _) if NO_LEASE_CODES.contains(&code) => LeaseAnswer::Refused,
            (code, _, _) => LeaseAnswer::Failed(format!(
                "`tansymux fleet turn` failed with exit code {code:?}: {}",
                answer.text
            )),
        }
    }

    /// Restarts a member within its lease and waits until it is healthy.
    fn restart_under_lease(&self, member: usize, lease: &Lease, rng: &mut Pcg32) {
        let is_uncoordinated = self.is_uncoordinated;
        if !is_uncoordinated {
            self.set_out(member, true);
        }
        let delay_s = if rng.random_bool(SLOW_SCRIPT_PROBABILITY) {
            lease.duration_s * SLOW_SCRIPT_LEASE_FRACTION
        } else {
            PROMPT_RESTART_S.min(lease.duration_s * 0.5)
        };
        thread::sleep(Duration::from_secs_f64(delay_s));
        if is_uncoordinated {
            self.set_out(member, true);
        }
        self.restart_member(member, &lease.name);
        let start = Instant::now();
        while !self.processes.is_healthy(member)
            && !self.is_over()
            && start.elapsed() < HEALTHY_TIMEOUT
        {
            thread::sleep(POLL_INTERVAL);
        }
        self.set_out(member, false);
    }

    /// Records whether a member is out. In an uncoordinated run only the maximum is recorded, without a check of the
    /// limit.
    fn set_out(&self, member: usize, is_out: bool) {
        let mut out = self.out.lock().expect("the lock is not poisoned");
        out[member] = is_out;
        let count = out.iter().filter(|is_out| **is_out).count();
        let mut report = self.report();
        if self.is_uncoordinated {
            report.max_out = report.max_out.max(count);
        } else {
            report.record_out(count);
        }
    }

    /// Terminates a member's process, and starts the new version after the scenario's restart time.
    fn restart_member(&self, member: usize, lease: &str) {
        self.end_process(member);
        let mut slot = self.processes.slot(member);
        slot.set_version(NEW_VERSION);
        let text = self.operator_text(member, NEW_VERSION);
        self.processes.write_operator_file(member, &text);
        drop(slot);
        thread::sleep(Duration::from_secs_f64(self.scenario.down / 1000.0));
        let mut slot = self.processes.slot(member);
        if slot.is_empty() {
            let lease = Some(lease).filter(|lease| !lease.is_empty());
            self.processes.start(member, &mut slot, lease);
        }
    }

    /// Terminates a member's process and waits until it exits. Sends SIGKILL after `TERMINATION_TIMEOUT`.
    fn end_process(&self, member: usize) {
        let is_terminated = self.processes.slot(member).terminate();
        let start = Instant::now();
        loop {
            let mut slot = self.processes.slot(member);
            if slot.has_ended() || !is_terminated || start.elapsed() > TERMINATION_TIMEOUT {
                return slot.clear();
            }
            drop(slot);
            thread::sleep(POLL_INTERVAL);
        }
    }
}
