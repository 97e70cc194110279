//! Operators that issue commands at members, and what they do once they are answered.

use super::settings::{keys, member_address, operator_address, operator_at, supervisor_address};
use super::supervisor::Supervisor;
use super::VirtualFleet;
use rand::RngExt;
use std::net::SocketAddr;
use tansymux_membership::member_id_of;
use tansymux_rollout::message::{Answer, Command};
use tansymux_rollout::{ClientAction, FleetClient, FleetNode};

/// An operator's command, from its issue until its answer has been acted on.
pub(super) struct Operator {
    at: usize,
    client: FleetClient,
    /// The engine that is drained once the answer allows it.
    engine_to_drain: Option<usize>,
    is_halt: bool,
    answer_recorded: bool,
}

impl VirtualFleet {
    /// An operator issues a command at a member.
    pub(super) fn issue_command(&mut self, at: usize, command: Command) {
        self.issue(at, command, None);
    }

    /// An operator asks to drain an engine, and drains it once that is granted.
    pub(super) fn issue_drain(&mut self, at: usize, command: Command, engine: usize) {
        self.issue(at, command, Some(engine));
    }

    fn issue(&mut self, at: usize, command: Command, engine_to_drain: Option<usize>) {
        let seed = self.rng.random();
        let host_ms = self.members[at].host_clock_ms(self.now_ms);
        if matches!(command, Command::Resume { .. } | Command::RollBack { .. }) {
            self.halted_since_ms = None;
        }
        self.operators.push(Operator {
            at,
            client: FleetClient::new(keys(), command, host_ms, seed),
            engine_to_drain,
            is_halt: matches!(command, Command::Halt { .. }),
            answer_recorded: false,
        });
    }

    /// Hands a datagram to the supervisor or the operator that listens at `to`. Both run on their host's clock, whatever
    /// the process does.
    pub(super) fn deliver_to_caller(&mut self, at: usize, to: SocketAddr, bytes: &[u8]) {
        let host_ms = self.members[at].host_clock_ms(self.now_ms);
        if to == supervisor_address(at) {
            if let Supervisor::AwaitingLease { lease, .. } = &mut self.supervisors[at] {
                lease.handle(bytes, host_ms);
            }
        } else if let Some(operator) = self.operators.get_mut(operator_at(to.port())) {
            operator.client.handle(bytes);
        }
    }

    pub(super) fn poll_operators(&mut self) {
        for index in 0..self.operators.len() {
            let at = self.operators[index].at;
            let host_ms = self.members[at].host_clock_ms(self.now_ms);
            let action = self.operators[index].client.poll(host_ms);
            if let Some(ClientAction::Send { datagram }) = action {
                let source = operator_address(at, index);
                self.send_datagram(at, source, member_address(at), datagram);
            }
            self.act_on_answer(index);
        }
    }

    fn act_on_answer(&mut self, index: usize) {
        let operator = &mut self.operators[index];
        let Some(answer) = operator.client.answer() else {
            return;
        };
        if !operator.answer_recorded {
            operator.answer_recorded = true;
            if operator.is_halt && answer == Answer::Done {
                self.halted_since_ms.get_or_insert(self.now_ms);
            }
            self.answers.push(answer);
        }
        // Only what an answer allows is done: without an answer the engine is not drained.
        if answer == Answer::Done {
            if let Some(engine) = operator.engine_to_drain.take() {
                self.drained[engine] = true;
            }
        }
    }

    /// An operator resumes the release where the leader says that it is halted; whether it is.
    pub(super) fn resume_if_halted(&mut self) -> bool {
        let halt = self
            .leader()
            .and_then(|leader| self.members[leader].fleet.as_ref())
            .and_then(FleetNode::quorum)
            .and_then(tansymux_rollout::active_halt);
        let Some(halt) = halt else {
            return false;
        };
        let number = halt.number;
        self.issue_command(0, Command::Resume { number });
        true
    }

    /// Operators declare that these members do not come back, and resume what is halted for them.
    pub fn forget_members(&mut self, members: &[usize]) {
        for n in members {
            let id = member_id_of(&format!("n{n}"));
            self.issue_command(0, Command::Forget { id });
        }
        self.resume_if_halted();
    }
}
