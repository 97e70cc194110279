//! Faults and operators' actions of a scenario, injected into the virtual fleet.

use super::members::FIRST_ENGINE_ID;
use super::{VirtualFleet, RELEASE_NUMBER};
use crate::fleet::scenario::Fault;
use rand::RngExt;
use tansymux_rollout::message::Command;

impl VirtualFleet {
    /// Injects a fault or performs an operator's action.
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Links(conditions) => self.environment.network.set_conditions(conditions),
            Fault::Cut { side, one_way } => self.cut(&side, one_way),
            Fault::CutLeader { one_way } => {
                self.environment.network.heal();
                if let Some(leader) = self.members.leader() {
                    self.cut(&[leader], one_way);
                }
            }
            Fault::Heal => self.environment.network.heal(),
            Fault::Stall { who, lasts } => self.stall(Some(who), lasts),
            Fault::StallLeader { lasts } => self.stall(self.members.leader(), lasts),
            Fault::Kill { who, back } => self.crash(Some(who), back),
            Fault::KillLeader { back } => self.crash(self.members.leader(), back),
            Fault::KillHolder { back } => self.crash(self.supervisors.first_holder(), back),
            Fault::Drain { .. }
            | Fault::Undrain { .. }
            | Fault::Halt { .. }
            | Fault::Resume { .. }
            | Fault::Back { .. }
            | Fault::Limit { .. } => self.perform_operator_action(fault),
        }
    }

    fn perform_operator_action(&mut self, action: Fault) {
        match action {
            Fault::Drain { engines } => self.request_drains(&engines),
            Fault::Undrain { engine, at } => self.undrain(engine, at),
            Fault::Halt { at } => {
                let number = self.environment.rng.random::<u32>() | 1;
                self.last_halt = Some(number);
                self.issue_command(at, Command::Halt { number });
            }
            Fault::Resume { at } => {
                if let Some(number) = self.last_halt {
                    self.issue_command(at, Command::Resume { number });
                }
            }
            Fault::Limit { max_out } => {
                self.limits.set_max_out(max_out, self.environment.now_ms);
                self.members.change_limit(max_out);
            }
            Fault::Back { at } => {
                self.supervisors.roll_back();
                let number = RELEASE_NUMBER;
                self.issue_command(at, Command::RollBack { number });
            }
            _ => {}
        }
    }

    fn cut(&mut self, side: &[usize], one_way: bool) {
        let members = self.members.len();
        self.environment.network.cut(members, side, one_way);
    }

    fn stall(&mut self, member: Option<usize>, duration_ms: f64) {
        if let Some(member) = member {
            let until_ms = self.environment.now_ms + duration_ms;
            self.members.member_mut(member).stall(until_ms);
        }
    }

    fn crash(&mut self, member: Option<usize>, down_ms: f64) {
        if let Some(member) = member {
            let restart_at_ms = self.environment.now_ms + down_ms;
            self.members.member_mut(member).stop(restart_at_ms);
        }
    }

    /// Requests drains of engines, which operators drain once that is granted. `requests`: pairs of the member at which
    /// the operator acts and the engine.
    fn request_drains(&mut self, requests: &[(usize, usize)]) {
        for &(at, engine) in requests {
            let command = Command::Drain {
                engine: FIRST_ENGINE_ID + engine as u64,
                grant_id: self.environment.rng.random(),
            };
            self.operators.issue(
                at,
                command,
                Some(engine),
                &self.members,
                &mut self.environment,
            );
        }
    }

    /// Issues the command to return an engine to service. The engine counts as in service at once, before any answer.
    fn undrain(&mut self, engine: usize, at: usize) {
        self.operators.undrain(engine);
        let command = Command::Undrain {
            engine: FIRST_ENGINE_ID + engine as u64,
        };
        self.issue_command(at, command);
    }
}
