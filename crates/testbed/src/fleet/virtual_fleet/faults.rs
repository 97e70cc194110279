//! Faults and operators' actions of a scenario, applied to the virtual fleet.

use super::member::FIRST_ENGINE_ID;
use super::settings::{keys, limit_of};
use super::supervisor::Supervisor;
use super::{LimitInForce, SecondRelease, VirtualFleet, RELEASE_NUMBER};
use crate::fleet::scenario::Fault;
use rand::RngExt;
use tansymux_rollout::message::Command;

impl VirtualFleet {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        let members = self.members.len();
        match fault {
            Fault::Links(conditions) => self.network.conditions = conditions,
            Fault::Cut { side, one_way } => self.network.cut(members, &side, one_way),
            Fault::CutLeader { one_way } => {
                self.network.partition = None;
                if let Some(leader) = self.leader() {
                    self.network.cut(members, &[leader], one_way);
                }
            }
            Fault::Heal => self.network.partition = None,
            Fault::Stall { who, lasts } => self.stall_member(who, lasts),
            Fault::StallLeader { lasts } => {
                if let Some(leader) = self.leader() {
                    self.stall_member(leader, lasts);
                }
            }
            Fault::Kill { who, back } => self.stop_member(who, back),
            Fault::KillLeader { back } => {
                if let Some(leader) = self.leader() {
                    self.stop_member(leader, back);
                }
            }
            Fault::KillHolder { back } => {
                let holder = self
                    .supervisors
                    .iter()
                    .position(|supervisor| matches!(supervisor, Supervisor::HoldsLease { .. }));
                if let Some(holder) = holder {
                    self.stop_member(holder, back);
                }
            }
            Fault::Drain { engines } => self.request_drains(&engines),
            Fault::Undrain { engine, at } => self.undrain(engine, at),
            Fault::Halt { at } => {
                let number = self.rng.random::<u32>() | 1;
                self.last_halt = Some(number);
                self.issue_command(at, Command::Halt { number });
            }
            Fault::Resume { at } => {
                if let Some(number) = self.last_halt {
                    self.issue_command(at, Command::Resume { number });
                }
            }
            Fault::Limit { max_out } => self.change_limit(max_out),
            Fault::Back { at } => {
                self.rolling_back = true;
                let number = RELEASE_NUMBER;
                self.issue_command(at, Command::RollBack { number });
            }
        }
    }

    fn stall_member(&mut self, n: usize, lasts_ms: f64) {
        self.members[n].stalled_until_ms = self.now_ms + lasts_ms;
    }

    /// `requests`: at which member each engine's drain is asked for.
    fn request_drains(&mut self, requests: &[(usize, usize)]) {
        for &(at, engine) in requests {
            let command = Command::Drain {
                engine: FIRST_ENGINE_ID + engine as u64,
                grant_id: self.rng.random(),
            };
            self.issue_drain(at, command, engine);
        }
    }

    /// For the operators an engine serves again from the moment on which they say so.
    fn undrain(&mut self, engine: usize, at: usize) {
        self.drained[engine] = false;
        let command = Command::Undrain {
            engine: FIRST_ENGINE_ID + engine as u64,
        };
        self.issue_command(at, command);
    }

    /// All members read a definition with another limit of dispatchers out.
    fn change_limit(&mut self, max_out: usize) {
        self.limit = LimitInForce {
            max_out,
            since_ms: self.now_ms,
        };
        self.definition.dispatchers.fleet = limit_of(max_out);
        for member in &mut self.members {
            if let Some(fleet) = &mut member.fleet {
                fleet.set_config(self.definition.clone(), keys(), None);
            }
        }
    }

    /// Another release is requested at this member at the same time as the scenario's own.
    pub fn request_second_release(&mut self, at: usize, number: u32) {
        self.second_release = Some(SecondRelease { at, number });
    }

    /// All but the first members start only so long after the release's begin (ms).
    pub fn start_late(&mut self, first: usize, after_ms: f64) {
        let start_ms = self.release_at_ms + after_ms;
        for member in self.members.iter_mut().skip(first) {
            member.restart_at_ms = Some(start_ms);
        }
    }

    /// These members crash shortly before the release, for good.
    pub fn crash_before_release(&mut self, members: &[usize]) {
        self.crash_before_release = members.to_vec();
    }
}
