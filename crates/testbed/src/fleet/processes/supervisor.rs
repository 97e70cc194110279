//! Supervisors: each restarts its dispatcher on the new version, under a restart lease of the fleet.

use super::{FleetRun, NEW_VERSION, POLL_INTERVAL};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::thread;
use std::time::{Duration, Instant};

/// How long a supervisor waits for its restarted dispatcher to be healthy.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a supervisor waits for a process to end before it sends SIGKILL: a stopped process does not handle SIGTERM.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Exit codes of `tansymux fleet turn` with which no lease was granted and none failed.
const NO_LEASE_CODES: [i32; 3] = [0, 3, 4];
/// Probability that a script is slow and begins shortly before its lease ends.
const SLOW_SCRIPT_PROBABILITY: f64 = 0.15;
/// Fraction of the lease after which a slow script begins its restart.
const SLOW_SCRIPT_LEASE_FRACTION: f64 = 0.9;
/// A prompt script begins its restart this long after the grant (s), unless that is more than half of the lease.
const PROMPT_RESTART_S: f64 = 0.1;

/// A restart lease that was granted. Without coordination its name is empty.
struct Lease {
    name: String,
    lasts_s: f64,
}

/// What the fleet answered to a request for a lease.
enum LeaseAnswer {
    Granted(Lease),
    /// No lease is granted now; the supervisor requests one again.
    Refused,
    /// The command failed with this text.
    Failed(String),
}

impl FleetRun {
    /// Restarts a member on the new version as soon as a lease is granted.
    pub(super) fn supervise(&self, member: usize) {
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed * 7919 + member as u64);
        let from_ms = self.elapsed_ms();
        while !self.is_over() {
            match self.acquire_lease(member, &mut rng) {
                LeaseAnswer::Granted(lease) => {
                    let waited_ms = self.elapsed_ms() - from_ms;
                    self.report().lease_waits_ms.push(waited_ms);
                    return self.restart_under(member, &lease, &mut rng);
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
            // As a tool that restarts all members would, which waits for none of them.
            let wait_ms = rng.random_range(0.0..self.scenario.down * 4.0);
            thread::sleep(Duration::from_secs_f64(wait_ms / 1000.0));
            return LeaseAnswer::Granted(Lease {
                name: String::new(),
                lasts_s: 1.0,
            });
        }
        let arguments = ["turn", "--to", NEW_VERSION, "--wait-s", "15"];
        let answer = self.processes.fleet_command(member, &arguments);
        let mut words = answer.text.split_whitespace();
        let name = words.next();
        let lasts_s = words.next().and_then(|word| word.parse().ok());
        match (answer.code, name, lasts_s) {
            (Some(0), Some(name), Some(lasts_s)) => LeaseAnswer::Granted(Lease {
                name: name.to_owned(),
                lasts_s,
            }),
            (Some(code), _, _) if NO_LEASE_CODES.contains(&code) => LeaseAnswer::Refused,
            (code, _, _) => {
                LeaseAnswer::Failed(format!("turn ended with {code:?}: {}", answer.text))
            }
        }
    }

    /// Restarts a member within its lease and waits until it is healthy.
    fn restart_under(&self, member: usize, lease: &Lease, rng: &mut Pcg32) {
        let is_uncoordinated = self.is_uncoordinated;
        if !is_uncoordinated {
            self.set_out(member, true);
        }
        let delay_s = if rng.random_bool(SLOW_SCRIPT_PROBABILITY) {
            lease.lasts_s * SLOW_SCRIPT_LEASE_FRACTION
        } else {
            PROMPT_RESTART_S.min(lease.lasts_s * 0.5)
        };
        thread::sleep(Duration::from_secs_f64(delay_s));
        if is_uncoordinated {
            self.set_out(member, true);
        }
        self.restart_member(member, &lease.name);
        let from = Instant::now();
        while !self.processes.is_healthy(member)
            && !self.is_over()
            && from.elapsed() < HEALTHY_TIMEOUT
        {
            thread::sleep(POLL_INTERVAL);
        }
        self.set_out(member, false);
    }

    /// Records whether a member is out. Without coordination there is no limit to check, only a count to keep.
    fn set_out(&self, member: usize, is_out: bool) {
        let mut out = self.out.lock().expect("no holder panics");
        out[member] = is_out;
        let count = out.iter().filter(|is_out| **is_out).count();
        let mut report = self.report();
        if self.is_uncoordinated {
            report.max_out = report.max_out.max(count);
        } else {
            report.record_out(count);
        }
    }

    /// Terminates the process, waits for its end, and starts the new version once the restart has taken its time.
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

    /// Terminates a member's process and waits for its end; a process that does not end in time is ended by SIGKILL.
    fn end_process(&self, member: usize) {
        let is_terminated = self.processes.slot(member).terminate();
        let from = Instant::now();
        loop {
            let mut slot = self.processes.slot(member);
            if slot.has_ended() || !is_terminated || from.elapsed() > TERMINATION_TIMEOUT {
                return slot.clear();
            }
            drop(slot);
            thread::sleep(POLL_INTERVAL);
        }
    }
}
