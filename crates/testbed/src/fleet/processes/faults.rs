//! Faults and operators' actions of a scenario, applied to real processes and their links.

use super::{FleetRun, POLL_INTERVAL};
use crate::fleet::scenario::{Fault, LinkConditions};
use std::thread;
use std::time::{Duration, Instant};

/// A member whose process is stopped, and until when.
struct Stalled {
    member: usize,
    until: Instant,
}

/// The relay delays by this at least (ms).
const MIN_RELAY_DELAY_MS: f64 = 1.0;

fn engine_name(n: usize) -> String {
    format!("s-{n}")
}

impl FleetRun {
    /// Applies the scenario's events in their time. `begin_ms`: when the release began, from which they count.
    pub(super) fn inject_faults(&self, begin_ms: f64) {
        let mut stalled: Vec<Stalled> = Vec::new();
        let mut events = self.scenario.events.clone().into_iter().peekable();
        while !self.is_over() && (events.peek().is_some() || !stalled.is_empty()) {
            thread::sleep(POLL_INTERVAL);
            stalled.retain(|stall| {
                let over = Instant::now() >= stall.until;
                if over {
                    self.continue_member(stall.member);
                }
                !over
            });
            while let Some(event) = events.next_if(|event| self.elapsed_ms() - begin_ms >= event.at)
            {
                self.apply_fault(event.what, &mut stalled);
            }
        }
        for stall in &stalled {
            self.continue_member(stall.member);
        }
    }

    fn apply_fault(&self, fault: Fault, stalled: &mut Vec<Stalled>) {
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
            Fault::Stall { who, lasts } => self.stall(who, lasts, stalled),
            Fault::StallLeader { lasts } => {
                if let Some(leader) = self.leader() {
                    self.stall(leader, lasts, stalled);
                }
            }
            Fault::Kill { who, back } => self.crash_member(who, back),
            Fault::KillLeader { back } => {
                if let Some(leader) = self.leader() {
                    self.crash_member(leader, back);
                }
            }
            Fault::KillHolder { back } => {
                if let Some(holder) = self.first_out() {
                    self.crash_member(holder, back);
                }
            }
            Fault::Drain { engines } => self.drain(&engines),
            Fault::Undrain { engine, at } => {
                self.drained.lock().expect("no holder panics")[engine] = false;
                self.fleet_command(at, &["undrain", &engine_name(engine)]);
            }
            Fault::Halt { at } => drop(self.fleet_command(at, &["halt"])),
            Fault::Resume { at } => drop(self.fleet_command(at, &["resume"])),
            Fault::Back { at } => drop(self.fleet_command(at, &["back"])),
            Fault::Limit { max_out } => self.change_limit(max_out),
        }
    }

    fn stall(&self, member: usize, lasts_ms: f64, stalled: &mut Vec<Stalled>) {
        if self.stall_member(member) {
            let until = Instant::now() + Duration::from_secs_f64(lasts_ms / 1000.0);
            stalled.push(Stalled { member, until });
        }
    }

    fn heal(&self) {
        self.relay.heal();
        for link in self.engine_links.iter().flatten() {
            link.set_cut(false);
        }
    }

    fn first_out(&self) -> Option<usize> {
        let out = self.out.lock().expect("no holder panics");
        out.iter().position(|is_out| *is_out)
    }

    /// Operators at these members ask to drain these engines at the same time, and drain what is granted.
    fn drain(&self, requests: &[(usize, usize)]) {
        thread::scope(|scope| {
            for &(at, engine) in requests {
                scope.spawn(move || {
                    let answer = self.fleet_command(at, &["drain", &engine_name(engine)]);
                    if answer.code == Some(0) {
                        let mut drained = self.drained.lock().expect("no holder panics");
                        drained[engine] = true;
                        let count = drained.iter().filter(|drained| **drained).count();
                        self.report().record_drained(count);
                    }
                });
            }
        });
    }

    /// All operators' files get another limit of dispatchers out, and all processes read them again.
    fn change_limit(&self, max_out: usize) {
        for n in 0..self.places.len() {
            let place = self.place(n);
            self.operator_files[n].write(&self.operator_text_with_limit(n, place.version, max_out));
            if let Some(program) = place.program.as_ref().filter(|_| !place.stalled) {
                program.signal("-HUP");
            }
        }
    }
}
