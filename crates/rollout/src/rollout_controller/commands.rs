//! Commands of members and operators: leases, drains, halts and releases.

use super::{active_halt, active_release, propose, release_proposal, RolloutController};
use crate::message::{Answer, Command};
use crate::rollout_plan::{NotYet, Release, RestartRequest};
use tansymux_coordination::disruption_budget::{Decision, DisruptionRequest, HaltReason};
use tansymux_coordination::{
    DisruptionReason, Id, Proposal, QuorumNode, Record, RecordValue, ReleaseStage, UnitKind,
    HALT_KEY, RELEASE_KEY,
};

/// A request for a restart lease.
#[derive(Debug, Clone, Copy)]
struct RequestedLease {
    id: Id,
    to: u32,
    grant_id: u64,
}

/// What a granted disruption is recorded with.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantTerms {
    /// The session of the dispatcher's life that it ends; 0 for engines.
    pub(super) session: u32,
    /// How long it counts (ms); none: until it is ended.
    pub(super) term_ms: Option<f64>,
}

impl RolloutController {
    /// Answers a command. The member asks again until the answer is other than [`Answer::Pending`]; a command may come
    /// twice, which its number makes harmless.
    pub fn on_command(&mut self, node: &mut QuorumNode, command: Command, now_ms: f64) -> Answer {
        if !self.is_settled_leader(node, now_ms) {
            return Answer::NoLeader;
        }
        match command {
            Command::Status => Answer::Status(self.status(node)),
            Command::RequestLease { id, to, grant_id } => {
                let requested = RequestedLease { id, to, grant_id };
                self.grant_lease(node, requested, now_ms)
            }
            Command::ReturnLease { id, grant_id } => return_lease(node, id, grant_id, now_ms),
            Command::Drain { engine, grant_id } => self.drain(node, engine, grant_id, now_ms),
            Command::Undrain { engine } => undrain(node, engine, now_ms),
            Command::Release { number, to, from } => {
                let stage = self.config.plan.first_stage();
                let release = Release {
                    number,
                    to,
                    from,
                    stage,
                };
                self.start_release(node, release, now_ms)
            }
            Command::RollBack { number } => roll_back(node, number, now_ms),
            Command::Halt { number } => match active_halt(node) {
                Some(_) => when_chosen(node, HALT_KEY, Answer::Done),
                None => halt(node, HaltReason::Operator, number, now_ms),
            },
            Command::Resume { number } => self.resume(node, number, now_ms),
            Command::Forget { id } => self.forget(node, id, now_ms),
            // The zone coordinator answers these, where zones are configured.
            Command::EvacuateZone { .. } | Command::ReturnToZone { .. } | Command::ListZones => {
                Answer::UnknownUnit
            }
        }
    }

    fn grant_lease(
        &mut self,
        node: &mut QuorumNode,
        requested: RequestedLease,
        now_ms: f64,
    ) -> Answer {
        let report = self.report_of(requested.id);
        let Some(report) = report.filter(|_| self.is_present(requested.id)) else {
            return Answer::UnknownUnit;
        };
        let changes_version = requested.to != 0 && requested.to != report.version;
        if changes_version && !holds_lease(node, requested.id, requested.grant_id) {
            let request = RestartRequest {
                id: requested.id,
                to: requested.to,
            };
            let release = active_release(node);
            let participants = self.participants(node);
            let is_paused = now_ms < self.paused_until_ms;
            let admitted =
                self.config
                    .plan
                    .admit(release.as_ref(), &participants, request, is_paused);
            if let Err(not_yet) = admitted {
                return not_yet.into();
            }
        }
        let request = DisruptionRequest {
            id: requested.id,
            kind: UnitKind::Dispatcher,
            reason: DisruptionReason::RestartLease,
            grant_id: requested.grant_id,
        };
        let terms = GrantTerms {
            session: report.session,
            term_ms: Some(self.config.lease_term_ms),
        };
        self.grant_disruption(node, request, terms, now_ms)
    }

    fn drain(&mut self, node: &mut QuorumNode, engine: Id, grant_id: u64, now_ms: f64) -> Answer {
        let request = DisruptionRequest {
            id: engine,
            kind: UnitKind::Engine,
            reason: DisruptionReason::Drain,
            grant_id,
        };
        let terms = GrantTerms {
            session: 0,
            term_ms: None,
        };
        match self.grant_disruption(node, request, terms, now_ms) {
            Answer::Granted { .. } => Answer::Done,
            answer => answer,
        }
    }

    /// Grants a disruption under the budget, unless all is halted.
    pub(super) fn grant_disruption(
        &mut self,
        node: &mut QuorumNode,
        request: DisruptionRequest,
        terms: GrantTerms,
        now_ms: f64,
    ) -> Answer {
        if let Some(halt) = active_halt(node) {
            return halted(halt);
        }
        let key = Record::unit_key(request.kind, request.id);
        match self.decide(node, request, now_ms) {
            Decision::Granted => {
                self.write_grant(node, request, terms, now_ms);
                granted(node, key)
            }
            // A disruption that is being ended is not granted once more.
            Decision::AlreadyGranted if node.is_ending(key) => Answer::AlreadyOut {
                reason: request.reason,
            },
            Decision::AlreadyGranted => granted(node, key),
            Decision::BudgetExhausted {
                scope,
                unavailable,
                max_unavailable,
            } => Answer::BudgetExhausted {
                scope,
                unavailable: unavailable as u32,
                max_unavailable: max_unavailable as u32,
            },
            Decision::TooSoon { wait_ms } => Answer::TooSoon {
                wait_ms: wait_ms.ceil() as u32,
            },
            Decision::AlreadyOut { reason } => Answer::AlreadyOut { reason },
            Decision::InsufficientCapacity { load, remaining } => Answer::InsufficientCapacity {
                load: load as f32,
                remaining: remaining as f32,
            },
            Decision::UnknownUnit => Answer::UnknownUnit,
        }
    }

    fn write_grant(
        &mut self,
        node: &mut QuorumNode,
        request: DisruptionRequest,
        terms: GrantTerms,
        now_ms: f64,
    ) {
        let value = RecordValue::Disruption {
            kind: request.kind,
            reason: request.reason,
            zone: self.zone_of_unit(request.kind, request.id),
            session: terms.session,
            grant_id: request.grant_id,
        };
        let proposal = Proposal {
            key: Record::unit_key(request.kind, request.id),
            value,
            term_ms: terms.term_ms,
        };
        if node.propose(&[proposal], now_ms).is_ok() {
            self.last_granted.set(request.kind, now_ms);
        }
    }

    fn zone_of_unit(&self, kind: UnitKind, id: Id) -> u32 {
        match kind {
            UnitKind::Dispatcher => self.zone_of(id).unwrap_or(0),
            UnitKind::Engine => {
                let engine = self.engines.iter().find(|unit| unit.id == id);
                engine.map_or(0, |unit| unit.zone)
            }
        }
    }

    fn resume(&mut self, node: &mut QuorumNode, number: u32, now_ms: f64) -> Answer {
        match active_halt(node) {
            Some(halt) if halt.number == number => {
                // Whoever resumes knows of the members that are lost: they count as lost at the start.
                self.analysed_release = None;
                end_record(node, HALT_KEY, now_ms)
            }
            Some(halt) => halted(halt),
            None => Answer::Done,
        }
    }

    fn forget(&mut self, node: &mut QuorumNode, id: Id, now_ms: f64) -> Answer {
        if self.is_present(id) {
            return Answer::Already;
        }
        self.forgotten.insert(id);
        end_record(node, Record::unit_key(UnitKind::Dispatcher, id), now_ms)
    }

    fn start_release(&mut self, node: &mut QuorumNode, release: Release, now_ms: f64) -> Answer {
        if let Some(halt) = active_halt(node) {
            return halted(halt);
        }
        match active_release(node) {
            Some(running) if running.number == release.number => {
                when_chosen(node, RELEASE_KEY, Answer::Done)
            }
            Some(running) if !running.stage.is_final() => Answer::ReleaseInProgress {
                number: running.number,
            },
            _ => {
                propose(node, &[release_proposal(release)], now_ms);
                when_chosen(node, RELEASE_KEY, Answer::Done)
            }
        }
    }
}

impl From<NotYet> for Answer {
    fn from(not_yet: NotYet) -> Self {
        match not_yet {
            NotYet::NoSuchRelease => Answer::NoSuchRelease,
            NotYet::Already => Answer::Already,
            NotYet::OthersFirst => Answer::OthersFirst,
            NotYet::PausedAfterZone => Answer::PausedAfterZone,
        }
    }
}

fn halted(halt: super::ActiveHalt) -> Answer {
    Answer::Halted {
        reason: halt.reason,
        by: halt.by,
        number: halt.number,
    }
}

/// The answer once a majority accepted the record of a key.
fn when_chosen(node: &QuorumNode, key: u64, answer: Answer) -> Answer {
    if node.is_chosen(key) {
        answer
    } else {
        Answer::Pending
    }
}

/// Ends the record of a key, once.
fn end_record(node: &mut QuorumNode, key: u64, now_ms: f64) -> Answer {
    if node.active(key).is_none() {
        return Answer::Done;
    }
    if !node.is_ending(key) {
        propose(node, &[Proposal::tombstone(key)], now_ms);
    }
    Answer::Pending
}

/// Halts all disruptions.
pub(super) fn halt(node: &mut QuorumNode, reason: HaltReason, number: u32, now_ms: f64) -> Answer {
    let value = RecordValue::Halt {
        number,
        by: node.id(),
        reason: reason.code(),
    };
    propose(node, &[Proposal::lasting(HALT_KEY, value)], now_ms);
    when_chosen(node, HALT_KEY, Answer::Done)
}

/// Whether a dispatcher's record is this very lease.
fn holds_lease(node: &QuorumNode, id: Id, lease: u64) -> bool {
    let key = Record::unit_key(UnitKind::Dispatcher, id);
    let value = node.active(key).map(|leased| leased.record.value);
    matches!(
        value,
        Some(RecordValue::Disruption {
            reason: DisruptionReason::RestartLease,
            grant_id,
            ..
        }) if grant_id == lease
    )
}

fn return_lease(node: &mut QuorumNode, id: Id, grant_id: u64, now_ms: f64) -> Answer {
    if !holds_lease(node, id, grant_id) {
        return Answer::Done;
    }
    end_record(node, Record::unit_key(UnitKind::Dispatcher, id), now_ms)
}

/// The term that is left of a chosen grant, without the allowance for clock skew that the records include.
fn granted(node: &QuorumNode, key: u64) -> Answer {
    let remaining_ms = node
        .active(key)
        .and_then(|leased| leased.remaining_ms)
        .unwrap_or(0);
    let term_ms = f64::from(remaining_ms) / (1.0 + node.config().max_clock_skew);
    let answer = Answer::Granted {
        remaining_ms: term_ms as u32,
    };
    when_chosen(node, key, answer)
}

fn undrain(node: &mut QuorumNode, engine: Id, now_ms: f64) -> Answer {
    let key = Record::unit_key(UnitKind::Engine, engine);
    match node.active(key).map(|leased| leased.record.value) {
        Some(RecordValue::Disruption {
            reason: DisruptionReason::Drain | DisruptionReason::Ejected,
            ..
        }) => end_record(node, key, now_ms),
        Some(RecordValue::Disruption { reason, .. }) => Answer::AlreadyOut { reason },
        _ => Answer::Done,
    }
}

/// Rolls a release back, and ends the halt that it may have caused.
fn roll_back(node: &mut QuorumNode, number: u32, now_ms: f64) -> Answer {
    let Some(release) = active_release(node).filter(|release| release.number == number) else {
        return Answer::NoSuchRelease;
    };
    if release.from == 0 {
        return Answer::NoPreviousVersion;
    }
    let is_back = matches!(
        release.stage,
        ReleaseStage::RollingBack | ReleaseStage::RolledBack
    );
    if !is_back {
        let mut proposals = vec![release_proposal(Release {
            stage: ReleaseStage::RollingBack,
            ..release
        })];
        if active_halt(node).is_some() {
            proposals.push(Proposal::tombstone(HALT_KEY));
        }
        propose(node, &proposals, now_ms);
    }
    when_chosen(node, RELEASE_KEY, Answer::Done)
}
