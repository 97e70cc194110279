//! Commands of members and operators: leases, drains, halts and releases.

use super::grants::GrantRequest;
use super::status::fleet_status;
use super::RolloutController;
use crate::message::{Answer, Command};
use crate::quorum_records::{
    active_halt, active_release, end_record, propose, release_proposal, when_chosen, write_halt,
};
use crate::rollout_plan::{Release, RestartRejected, RestartRequest};
use tansymux_coordination::disruption_budget::{DisruptionRequest, HaltReason};
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

impl RolloutController {
    /// Answers a command. The member retransmits it while the answer is [`Answer::Pending`]; the number or grant id in
    /// a command makes it idempotent.
    pub fn on_command(&mut self, node: &mut QuorumNode, command: Command, now_ms: f64) -> Answer {
        if !self.is_settled_leader(node, now_ms) {
            return Answer::NoLeader;
        }
        match command {
            Command::Status => Answer::Status(fleet_status(node, &self.fleet, &self.progress)),
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
                start_release(node, release, now_ms)
            }
            Command::RollBack { number } => roll_back(node, number, now_ms),
            Command::Halt { number } => match active_halt(node) {
                Some(_) => when_chosen(node, HALT_KEY, Answer::Done),
                None => write_halt(node, HaltReason::Operator, number, now_ms),
            },
            Command::Resume { number } => self.resume(node, number, now_ms),
            Command::Forget { id } => self.forget(node, id, now_ms),
            // The zone coordinator answers these commands if zone evacuation is configured.
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
        let report = self.fleet.report_of(requested.id);
        let Some(report) = report.filter(|_| self.fleet.is_present(requested.id)) else {
            return Answer::UnknownUnit;
        };
        let changes_version = requested.to != 0 && requested.to != report.version;
        if changes_version && !holds_lease(node, requested.id, requested.grant_id) {
            if let Err(rejected) = self.admit_to_release(node, requested, now_ms) {
                return rejected.into();
            }
        }
        let request = GrantRequest {
            disruption: DisruptionRequest {
                id: requested.id,
                kind: UnitKind::Dispatcher,
                reason: DisruptionReason::RestartLease,
                grant_id: requested.grant_id,
            },
            session: report.session,
            term_ms: Some(self.config.lease_term_ms),
        };
        self.grants
            .grant(node, &self.fleet, &self.config, request, now_ms)
    }

    /// Checks whether the order of the release allows a dispatcher to restart with another version now.
    fn admit_to_release(
        &self,
        node: &QuorumNode,
        requested: RequestedLease,
        now_ms: f64,
    ) -> Result<(), RestartRejected> {
        let request = RestartRequest {
            id: requested.id,
            to: requested.to,
        };
        let release = active_release(node);
        let participants = self.fleet.participants(node);
        let is_paused = self.progress.is_paused(now_ms);
        self.config
            .plan
            .admit(release.as_ref(), &participants, request, is_paused)
    }

    fn drain(&mut self, node: &mut QuorumNode, engine: Id, grant_id: u64, now_ms: f64) -> Answer {
        let request = GrantRequest {
            disruption: DisruptionRequest {
                id: engine,
                kind: UnitKind::Engine,
                reason: DisruptionReason::Drain,
                grant_id,
            },
            session: 0,
            term_ms: None,
        };
        let answer = self
            .grants
            .grant(node, &self.fleet, &self.config, request, now_ms);
        match answer {
            Answer::Granted { .. } => Answer::Done,
            answer => answer,
        }
    }

    fn resume(&mut self, node: &mut QuorumNode, number: u32, now_ms: f64) -> Answer {
        match active_halt(node) {
            Some(halt) if halt.number == number => {
                self.progress.on_resume();
                end_record(node, HALT_KEY, now_ms)
            }
            Some(halt) => halt.into(),
            None => Answer::Done,
        }
    }

    fn forget(&mut self, node: &mut QuorumNode, id: Id, now_ms: f64) -> Answer {
        if self.fleet.is_present(id) {
            return Answer::Already;
        }
        self.fleet.forget(id);
        end_record(node, Record::unit_key(UnitKind::Dispatcher, id), now_ms)
    }
}

impl From<RestartRejected> for Answer {
    fn from(rejected: RestartRejected) -> Self {
        match rejected {
            RestartRejected::NoSuchRelease => Answer::NoSuchRelease,
            RestartRejected::AlreadyRestarted => Answer::Already,
            RestartRejected::OthersFirst => Answer::OthersFirst,
            RestartRejected::PausedAfterZone => Answer::PausedAfterZone,
        }
    }
}

/// Whether a dispatcher's record is the restart lease with this grant id.
fn holds_lease(node: &QuorumNode, id: Id, expected_grant_id: u64) -> bool {
    let key = Record::unit_key(UnitKind::Dispatcher, id);
    let value = node.active(key).map(|leased| leased.record.value);
    matches!(
        value,
        Some(RecordValue::Disruption {
            reason: DisruptionReason::RestartLease,
            grant_id,
            ..
        }) if grant_id == expected_grant_id
    )
}

fn return_lease(node: &mut QuorumNode, id: Id, grant_id: u64, now_ms: f64) -> Answer {
    if !holds_lease(node, id, grant_id) {
        return Answer::Done;
    }
    end_record(node, Record::unit_key(UnitKind::Dispatcher, id), now_ms)
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

fn start_release(node: &mut QuorumNode, release: Release, now_ms: f64) -> Answer {
    if let Some(halt) = active_halt(node) {
        return halt.into();
    }
    match active_release(node) {
        Some(current) if current.number == release.number => {
            when_chosen(node, RELEASE_KEY, Answer::Done)
        }
        Some(current) if !current.stage.is_final() => Answer::ReleaseInProgress {
            number: current.number,
        },
        _ => {
            propose(node, &[release_proposal(release)], now_ms);
            when_chosen(node, RELEASE_KEY, Answer::Done)
        }
    }
}

/// Rolls a release back, and ends the halt in force, which the release may have caused.
fn roll_back(node: &mut QuorumNode, number: u32, now_ms: f64) -> Answer {
    let Some(release) = active_release(node).filter(|release| release.number == number) else {
        return Answer::NoSuchRelease;
    };
    if release.from == 0 {
        return Answer::NoPreviousVersion;
    }
    let is_rollback = matches!(
        release.stage,
        ReleaseStage::RollingBack | ReleaseStage::RolledBack
    );
    if !is_rollback {
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
