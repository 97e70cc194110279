//! Operators that issue commands at members and act on the answers.

use super::environment::Environment;
use super::limits::LimitsInForce;
use super::members::Members;
use super::settings::{keys, member_address, operator_address, operator_at};
use rand::RngExt;
use tansymux_rollout::message::{Answer, Command};
use tansymux_rollout::{ClientAction, FleetClient};

/// An operator's command, from its issue until its answer has been acted on.
struct Operator {
    /// The member at which the command is issued.
    at: usize,
    client: FleetClient,
    /// The engine to drain once the command is granted.
    engine_to_drain: Option<usize>,
    is_halt: bool,
    answer_recorded: bool,
}

/// All operators, and the engines that they have drained.
pub(super) struct Operators {
    operators: Vec<Operator>,
    /// For each engine, whether an operator drained it with permission.
    drained: Vec<bool>,
    answers: Vec<Answer>,
}

impl Operators {
    /// No operators, and no engine drained.
    pub fn new(engines: usize) -> Self {
        Operators {
            operators: Vec::new(),
            drained: vec![false; engines],
            answers: Vec::new(),
        }
    }

    /// Answers that operators received, in order.
    pub fn answers(&self) -> &[Answer] {
        &self.answers
    }

    /// Number of engines that are drained now.
    pub fn count_drained(&self) -> usize {
        self.drained.iter().filter(|drained| **drained).count()
    }

    /// Returns an engine to service.
    pub fn undrain(&mut self, engine: usize) {
        self.drained[engine] = false;
    }

    /// Issues an operator's command at a member. `engine_to_drain`: the engine to drain once the command is granted.
    pub fn issue(
        &mut self,
        at: usize,
        command: Command,
        engine_to_drain: Option<usize>,
        members: &Members,
        environment: &mut Environment,
    ) {
        let seed = environment.rng.random();
        let host_ms = members.member(at).host_clock_ms(environment.now_ms);
        self.operators.push(Operator {
            at,
            client: FleetClient::new(keys(), command, host_ms, seed),
            engine_to_drain,
            is_halt: matches!(command, Command::Halt { .. }),
            answer_recorded: false,
        });
    }

    /// Delivers a datagram to the operator that listens at a port.
    pub fn deliver(&mut self, port: u16, bytes: &[u8]) {
        if let Some(operator) = self.operators.get_mut(operator_at(port)) {
            operator.client.handle(bytes);
        }
    }

    /// Polls all operators: sends their datagrams and acts on their answers.
    pub fn poll(
        &mut self,
        members: &Members,
        limits: &mut LimitsInForce,
        environment: &mut Environment,
    ) {
        for index in 0..self.operators.len() {
            let operator = &mut self.operators[index];
            let at = operator.at;
            let host_ms = members.member(at).host_clock_ms(environment.now_ms);
            if let Some(ClientAction::Send { datagram }) = operator.client.poll(host_ms) {
                let source = operator_address(at, index);
                environment.send_datagram(at, source, member_address(at), datagram);
            }
            self.act_on_answer(index, limits, environment.now_ms);
        }
    }

    fn act_on_answer(&mut self, index: usize, limits: &mut LimitsInForce, now_ms: f64) {
        let operator = &mut self.operators[index];
        let Some(answer) = operator.client.answer() else {
            return;
        };
        if !operator.answer_recorded {
            operator.answer_recorded = true;
            if operator.is_halt && answer == Answer::Done {
                limits.confirm_halt(now_ms);
            }
            self.answers.push(answer);
        }
        // An engine is drained only after an answer that grants it. Without an answer it stays in service.
        if answer == Answer::Done {
            if let Some(engine) = operator.engine_to_drain.take() {
                self.drained[engine] = true;
            }
        }
    }
}
