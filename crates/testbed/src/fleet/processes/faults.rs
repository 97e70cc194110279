//! Faults and operators' actions of a scenario, injected into real processes and their links.

use super::{FleetRun, POLL_INTERVAL};
use crate::fleet::scenario::{Fault, LinkConditions};
use std::thread;
use std::time::{Duration, Instant};

/// Lower bound on the relay's maximum delay (ms).
const MIN_RELAY_DELAY_MS: f64 = 1.0;

/// A member whose process is stopped, and the time at which it resumes.
struct Stall {
    member: usize,
    until: Instant,
}

/// The name by which operators drain an engine.
fn engine_name(engine: usize) -> String {
    format!("s-{engine}")
}

impl FleetRun {
    /// Injects each fault of the scenario at its time, relative to the start of the release at `begin_ms`.
    pub(super) fn inject_faults(&self, begin_ms: f64) {
        let mut stalls: Vec<Stall> = Vec::new();
        let mut events = self.scenario.events.clone().into_iter().peekable();
        while !self.is_over() && (events.peek().is_some() || !stalls.is_empty()) {
            thread::sleep(POLL_INTERVAL);
            stalls.retain(|stall| {
                let is_over = Instant::now() >= stall.until;
                if is_over {
                    self.processes.slot(stall.member).resume();
                }
                !is_over
            });
            while let Some(event) = events.next_if(|event| self.elapsed_ms() - begin_ms >= event.at)
            {
                self.inject(event.what, &mut stalls);
            }
        }
        for stall in &stalls {
            self.processes.slot(stall.member).resume();
        }
    }

    fn inject(&self, fault: Fault, stalls: &mut Vec<Stall>) {
        match fault {
            Fault::Links(conditions) => self.relay.set_conditions(LinkConditions {
                delay: conditions.delay.max(MIN_RELAY_DELAY_MS),
                ..conditions
            }),
            Fault::Cut { side, one_way } => self.relay.cut(&side, one_way),
            Fault::CutLeader { one_way } => {
                if let Some(leader) = self.leader() {
                    self.relay.cut(&[leader], one_way);
                }
            }
            Fault::Heal => self.heal(),
            Fault::Stall { who, lasts } => self.stall(Some(who), lasts, stalls),
            Fault::StallLeader { lasts } => self.stall(self.leader(), lasts, stalls),
            Fault::Kill { who, back } => self.crash(Some(who), back),
            Fault::KillLeader { back } => self.crash(self.leader(), back),
            Fault::KillHolder { back } => self.crash(self.first_out(), back),
            Fault::Drain { .. }
            | Fault::Undrain { .. }
            | Fault::Halt { .. }
            | Fault::Resume { .. }
            | Fault::Back { .. }
            | Fault::Limit { .. } => self.perform_operator_action(fault),
        }
    }

    fn perform_operator_action(&self, action: Fault) {
        match action {
            Fault::Drain { engines } => self.drain(&engines),
            Fault::Undrain { engine, at } => {
                self.drained.lock().expect("the lock is not poisoned")[engine] = false;
                self.processes
                    .fleet_command(at, &["undrain", &engine_name(engine)]);
            }
            Fault::Halt { at } => drop(self.processes.fleet_command(at, &["halt"])),
            Fault::Resume { at } => drop(self.processes.fleet_command(at, &["resume"])),
            Fault::Back { at } => drop(self.processes.fleet_command(at, &["back"])),
            Fault::Limit { max_out } => self.change_limit(max_out),
            _ => {}
        }
    }

    fn leader(&self) -> Option<usize> {
        self.processes.leader(self.scenario.voters)
    }

    fn stall(&self, member: Option<usize>, duration_ms: f64, stalls: &mut Vec<Stall>) {
        let Some(member) = member else {
            return;
        };
        if self.processes.slot(member).stall() {
            let until = Instant::now() + Duration::from_secs_f64(duration_ms / 1000.0);
            stalls.push(Stall { member, until });
        }
    }

    fn crash(&self, member: Option<usize>, down_ms: f64) {
        if let Some(member) = member {
            let delay = Duration::from_secs_f64(down_ms / 1000.0);
            self.processes.slot(member).crash(delay);
        }
    }

    fn heal(&self) {
        self.relay.heal();
        for link in self.engine_links.iter().flatten() {
            link.set_cut(false);
        }
    }

    fn first_out(&self) -> Option<usize> {
        let out = self.out.lock().expect("the lock is not poisoned");
        out.iter().position(|is_out| *is_out)
    }

    /// Requests drains concurrently, and records the engines whose drain is granted as drained. `requests`: pairs of
    /// the member at which the operator acts and the engine.
    fn drain(&self, requests: &[(usize, usize)]) {
        thread::scope(|scope| {
            for &(at, engine) in requests {
                scope.spawn(move || {
                    let arguments = ["drain", &engine_name(engine)];
                    let answer = self.processes.fleet_command(at, &arguments);
                    if answer.code == Some(0) {
                        let mut drained = self.drained.lock().expect("the lock is not poisoned");
                        drained[engine] = true;
                        let count = drained.iter().filter(|drained| **drained).count();
                        self.report().record_drained(count);
                    }
                });
            }
        });
    }

    /// Sets the limit on dispatchers out in all operators' files, and makes the processes reload them.
    fn change_limit(&self, max_out: usize) {
        for member in 0..self.processes.len() {
            let slot = self.processes.slot(member);
            let text = self.operator_text_with_limit(member, slot.version(), max_out);
            self.processes.write_operator_file(member, &text);
            if let Some(program) = slot.responsive_program() {
                program.signal("-HUP");
            }
        }
    }
}
