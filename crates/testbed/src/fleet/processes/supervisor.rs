//! Supervisors: each restarts its dispatcher on the new version, under a restart lease of the fleet.

use super::{FleetRun, NEW_VERSION, POLL_INTERVAL};
use crate::program::Program;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::thread;
use std::time::{Duration, Instant};

/// How long a supervisor waits for its restarted dispatcher to be healthy.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long it waits for a process to end before it kills it: a stopped process does not end by a signal.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(6);

/// A restart lease that was granted. Without coordination its name is empty.
struct Lease {
    name: String,
    lasts_s: f64,
}

/// What the fleet answered to a request for a lease.
enum LeaseAnswer {
    Granted(Lease),
    /// Not now: the supervisor asks again.
    Refused,
    /// The command failed with this text.
    Failed(String),
}

impl FleetRun {
    pub(super) fn supervise(&self, n: usize) {
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed * 7919 + n as u64);
        let from_ms = self.elapsed_ms();
        while !self.is_over() {
            match self.acquire_lease(n, &mut rng) {
                LeaseAnswer::Granted(lease) => {
                    let waited_ms = self.elapsed_ms() - from_ms;
                    self.report().lease_waits_ms.push(waited_ms);
                    return self.restart_under(n, &lease, &mut rng);
                }
                LeaseAnswer::Refused => {
                    thread::sleep(Duration::from_millis(rng.random_range(300..1200)));
                }
                LeaseAnswer::Failed(text) => return self.record_violation(text),
            }
        }
    }

    fn acquire_lease(&self, n: usize, rng: &mut Pcg32) -> LeaseAnswer {
        if self.options.uncoordinated {
            // Within the first while, as a tool that restarts all would.
            let wait_ms = rng.random_range(0.0..self.scenario.down * 4.0);
            thread::sleep(Duration::from_secs_f64(wait_ms / 1000.0));
            return LeaseAnswer::Granted(Lease {
                name: String::new(),
                lasts_s: 1.0,
            });
        }
        let answer = self.fleet_command(n, &["turn", "--to", NEW_VERSION, "--wait-s", "15"]);
        let mut words = answer.text.split_whitespace();
        let name = words.next();
        let lasts_s = words.next().and_then(|word| word.parse().ok());
        match (answer.code, name, lasts_s) {
            (Some(0), Some(name), Some(lasts_s)) => LeaseAnswer::Granted(Lease {
                name: name.to_owned(),
                lasts_s,
            }),
            (Some(0 | 3 | 4), _, _) => LeaseAnswer::Refused,
            (code, _, _) => {
                LeaseAnswer::Failed(format!("turn ended with {code:?}: {}", answer.text))
            }
        }
    }

    /// Restarts a member within its lease and waits until it is healthy.
    fn restart_under(&self, n: usize, lease: &Lease, rng: &mut Pcg32) {
        let uncoordinated = self.options.uncoordinated;
        if !uncoordinated {
            self.set_out(n, true);
        }
        // Some scripts are slow, and begin shortly before their lease is over.
        let delay_s = if rng.random_bool(0.15) {
            lease.lasts_s * 0.9
        } else {
            0.1f64.min(lease.lasts_s * 0.5)
        };
        thread::sleep(Duration::from_secs_f64(delay_s));
        if uncoordinated {
            self.set_out(n, true);
        }
        self.restart_member(n, &lease.name);
        let from = Instant::now();
        while !self.is_healthy(n) && !self.is_over() && from.elapsed() < HEALTHY_TIMEOUT {
            thread::sleep(POLL_INTERVAL);
        }
        self.set_out(n, false);
    }

    /// Takes down whether a member is out. Without coordination there is no limit to check, only a count to keep.
    fn set_out(&self, n: usize, is_out: bool) {
        let mut out = self.out.lock().expect("no holder panics");
        out[n] = is_out;
        let count = out.iter().filter(|is_out| **is_out).count();
        let mut report = self.report();
        if self.options.uncoordinated {
            report.max_out = report.max_out.max(count);
        } else {
            report.record_out(count);
        }
    }

    /// Terminates the process, waits for its end, and starts the new version after a while.
    fn restart_member(&self, n: usize, lease: &str) {
        let terminated = self
            .place(n)
            .program
            .as_ref()
            .map(Program::terminate)
            .is_some();
        let from = Instant::now();
        loop {
            let mut place = self.place(n);
            let ended = place.program.as_mut().is_none_or(|program| {
                program
                    .child
                    .try_wait()
                    .is_ok_and(|status| status.is_some())
            });
            if ended || !terminated || from.elapsed() > TERMINATION_TIMEOUT {
                place.program = None;
                break;
            }
            drop(place);
            thread::sleep(POLL_INTERVAL);
        }
        let mut place = self.place(n);
        place.program = None;
        place.restart_at = None;
        place.version = NEW_VERSION;
        self.operator_files[n].write(&self.operator_text(n, NEW_VERSION));
        drop(place);
        thread::sleep(Duration::from_secs_f64(self.scenario.down / 1000.0));
        let mut place = self.place(n);
        if place.program.is_none() {
            self.start_member(n, &mut place, Some(lease).filter(|lease| !lease.is_empty()));
        }
    }
}
