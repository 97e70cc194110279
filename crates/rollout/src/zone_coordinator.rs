//! Zones of a fleet: connects the leader's evacuation controller and the member's follower (crates/zone-evacuation) with
//! the quorum records and messages.

use crate::message::{Answer, Command, ZoneList};
use crate::quorum_records::propose;
use crate::rollout_controller::RolloutController;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use tansymux_coordination::disruption_budget::Unit;
use tansymux_coordination::{Id, LeasedRecord, Proposal, QuorumNode, Record, RecordValue};
use tansymux_zone_evacuation::codec::{LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::{
    Config, EvacuationController, EvacuationFollower, EvacuationRefused, Evidence, FollowerEvent,
    Initiator, MemberPresence, MemberReport, QuotaGrant, Reason, Stage, ZoneId, ZoneStatus,
    MAX_ZONES,
};

/// Interval between two reports to the leader (ms), spread by a fifth.
const REPORT_INTERVAL_MS: f64 = 700.0;
/// Interval between two evaluations by the leader (ms).
const EVALUATION_INTERVAL_MS: f64 = 200.0;
/// Reports whose answers are awaited.
const MAX_AWAITED_REPORTS: usize = 32;
/// Numbers of an operator's evacuation begin at the time in this unit (ms), so that they go up over restarts.
const NUMBER_UNIT_MS: f64 = 100.0;

/// A report whose answer is awaited.
#[derive(Debug, Clone, Copy)]
struct AwaitedReport {
    number: u32,
    sent_ms: f64,
}

/// A member's part in the evacuation of zones, and the leader's.
#[derive(Debug, Clone)]
pub struct ZoneCoordinator {
    controller: EvacuationController,
    /// What this member does about zones.
    pub follower: EvacuationFollower,
    /// The leadership of which the controller's state is.
    leader_since_ms: Option<f64>,
    last_evaluation_ms: f64,
    evidence: Vec<Evidence>,
    is_isolated: bool,
    session: u32,
    next_report_ms: f64,
    last_report_number: u32,
    awaited_reports: VecDeque<AwaitedReport>,
    rng: Pcg32,
}

/// The states of all zones that a majority accepted, or may have.
fn agreed_states(node: &QuorumNode) -> BTreeMap<ZoneId, ZoneStatus> {
    node.all_active().filter_map(zone_state).collect()
}

/// A record as the state of a zone; none: it is another record, or of a later version.
fn zone_state(leased: LeasedRecord) -> Option<(ZoneId, ZoneStatus)> {
    let RecordValue::Zone {
        zone,
        stage,
        step,
        reason,
        number,
    } = leased.record.value
    else {
        return None;
    };
    let state = ZoneStatus {
        stage: Stage::from_code(stage)?,
        step,
        decision_number: number,
        reason: Reason::from_code(reason)?,
    };
    Some((zone, state))
}

fn write_state(node: &mut QuorumNode, zone: ZoneId, state: Option<ZoneStatus>, now_ms: f64) {
    let key = Record::zone_key(zone);
    let proposal = match state {
        Some(state) => Proposal::lasting(
            key,
            RecordValue::Zone {
                zone,
                stage: state.stage.code(),
                step: state.step,
                reason: state.reason.code(),
                number: state.decision_number,
            },
        ),
        None => Proposal::tombstone(key),
    };
    propose(node, &[proposal], now_ms);
}

/// Done once a majority accepted the state of a zone.
fn when_chosen(node: &QuorumNode, zone: ZoneId) -> Answer {
    if node.is_chosen(Record::zone_key(zone)) {
        Answer::Done
    } else {
        Answer::Pending
    }
}

impl ZoneCoordinator {
    /// A member of a zone at its start.
    pub fn new(own_zone: ZoneId, config: Config, session: u32, now_ms: f64, seed: u64) -> Self {
        ZoneCoordinator {
            follower: EvacuationFollower::new(own_zone, config.autonomy_after_ms, now_ms),
            controller: EvacuationController::new(config),
            leader_since_ms: None,
            last_evaluation_ms: f64::NEG_INFINITY,
            evidence: Vec::new(),
            is_isolated: false,
            session,
            next_report_ms: f64::NEG_INFINITY,
            last_report_number: 0,
            awaited_reports: VecDeque::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Takes over a new configuration.
    pub fn set_config(&mut self, config: Config) {
        self.controller.set_config(config);
    }

    /// Takes over what this dispatcher observes of zones. `is_isolated`: it takes itself for cut off.
    pub fn observe(&mut self, evidence: Vec<Evidence>, is_isolated: bool) {
        self.evidence = evidence;
        self.is_isolated = is_isolated;
        self.evidence.truncate(MAX_ZONES);
    }

    /// Takes over the engines of the endpoint list: their cores are the capacity of their zone.
    pub fn set_engines(&mut self, engines: &[Unit]) {
        let mut cores: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for engine in engines {
            *cores.entry(engine.zone).or_default() += engine.capacity;
        }
        let cores: Vec<(ZoneId, f64)> = cores.into_iter().collect();
        self.controller.set_capacity(&cores);
    }

    /// The report to the leader that is due; none: nothing before [`ZoneCoordinator::next_poll_ms`].
    pub fn poll(&mut self, now_ms: f64) -> Option<MemberReport> {
        if now_ms < self.next_report_ms {
            return None;
        }
        let spread = 0.9 + 0.2 * self.rng.random::<f64>();
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS * spread;
        self.last_report_number = self.last_report_number.wrapping_add(1);
        self.awaited_reports.push_back(AwaitedReport {
            number: self.last_report_number,
            sent_ms: now_ms,
        });
        if self.awaited_reports.len() > MAX_AWAITED_REPORTS {
            self.awaited_reports.pop_front();
        }
        Some(MemberReport {
            session: self.session,
            sequence_number: self.last_report_number,
            is_isolated: self.is_isolated,
            zones: self.evidence.clone(),
        })
    }

    /// When to poll again (ms).
    pub fn next_poll_ms(&self) -> f64 {
        self.next_report_ms
    }

    /// The leader's answer to a report. Each is taken once; quotas count from when the report was sent.
    pub fn on_plan(&mut self, reply: &LeaderReply, now_ms: f64) {
        let position = self
            .awaited_reports
            .iter()
            .position(|report| report.number == reply.sequence_number);
        let Some(report) = position.and_then(|position| self.awaited_reports.remove(position))
        else {
            return;
        };
        let states: Vec<(ZoneId, ZoneStatus)> = reply
            .zones
            .iter()
            .map(|entry| (entry.zone, entry.status))
            .collect();
        self.follower
            .handle(FollowerEvent::DecisionsReceived(&states), now_ms);
        let config = self.controller.config();
        for entry in &reply.zones {
            let grant = QuotaGrant {
                zone: entry.zone,
                decision_number: entry.status.decision_number,
                quota: f64::from(entry.quota),
                requested_ms: report.sent_ms,
                term_ms: config.quota_term_ms,
                clock_skew: config.clock_skew,
            };
            self.follower
                .handle(FollowerEvent::QuotaReceived(grant), now_ms);
        }
    }

    /// A member's report, and the answer of a leader that is settled.
    pub fn on_report(
        &mut self,
        rollout: &RolloutController,
        node: &QuorumNode,
        from: Id,
        report: &MemberReport,
        now_ms: f64,
    ) -> Option<LeaderReply> {
        let demands: BTreeMap<ZoneId, f64> = report
            .zones
            .iter()
            .map(|evidence| (evidence.zone, f64::from(evidence.threads)))
            .collect();
        self.controller.handle_report(from, report, now_ms);
        if !rollout.is_settled_leader(node, now_ms) {
            return None;
        }
        let grants_quotas = self.grants_quotas(node, now_ms);
        let mut zones = Vec::new();
        for (zone, state) in agreed_states(node).into_iter().take(MAX_ZONES) {
            let demand = demands.get(&zone).copied().unwrap_or(0.0);
            let quota = if grants_quotas {
                self.controller
                    .request_quota(from, zone, demand, state, now_ms)
            } else {
                0.0
            };
            zones.push(ZoneEntry {
                zone,
                status: state,
                quota: quota as f32,
            });
        }
        Some(LeaderReply {
            sequence_number: report.sequence_number,
            zones,
        })
    }

    /// Whether all quotas of an earlier leader have ended.
    fn grants_quotas(&self, node: &QuorumNode, now_ms: f64) -> bool {
        let config = self.controller.config();
        let wait_ms = config.quota_term_ms * (1.0 + 2.0 * config.clock_skew);
        node.leader_since_ms()
            .is_some_and(|since_ms| now_ms - since_ms >= wait_ms)
    }

    /// The leader's periodic evaluation of what members observe. `members`: whether each is there.
    pub fn evaluate(
        &mut self,
        rollout: &RolloutController,
        node: &mut QuorumNode,
        members: impl Iterator<Item = (Id, bool)>,
        now_ms: f64,
    ) {
        if now_ms - self.last_evaluation_ms < EVALUATION_INTERVAL_MS {
            return;
        }
        self.last_evaluation_ms = now_ms;
        if node.leader_since_ms() != self.leader_since_ms {
            self.leader_since_ms = node.leader_since_ms();
            self.controller.clear();
        }
        let presences = members.filter_map(|(id, is_present)| {
            Some(MemberPresence {
                id,
                zone: rollout.zone_of(id)?,
                is_present,
            })
        });
        self.controller.set_members(presences);
        if !rollout.is_settled_leader(node, now_ms) {
            return;
        }
        let states = agreed_states(node);
        for decision in self.controller.evaluate(&states, now_ms) {
            // One change of a zone at a time: while a record is not chosen, the next evaluation decides again.
            let key = Record::zone_key(decision.zone);
            if node.active(key).is_none() || node.is_chosen(key) {
                write_state(node, decision.zone, decision.status, now_ms);
            }
        }
    }

    /// An operator's command about zones.
    pub fn on_command(
        &mut self,
        rollout: &RolloutController,
        node: &mut QuorumNode,
        command: Command,
        now_ms: f64,
    ) -> Answer {
        if !rollout.is_settled_leader(node, now_ms) {
            return Answer::NoLeader;
        }
        let states = agreed_states(node);
        match command {
            Command::EvacuateZone { zone, dry_run } => {
                self.evacuate(node, &states, zone, dry_run, now_ms)
            }
            Command::ReturnToZone { zone } => return_to_zone(node, &states, zone, now_ms),
            _ => {
                let mut list = ZoneList::default();
                for (entry, (zone, state)) in list.iter_mut().zip(states) {
                    *entry = Some(ZoneEntry {
                        zone,
                        status: state,
                        quota: self.controller.granted_total(zone) as f32,
                    });
                }
                Answer::Zones(list)
            }
        }
    }

    fn evacuate(
        &mut self,
        node: &mut QuorumNode,
        states: &BTreeMap<ZoneId, ZoneStatus>,
        zone: ZoneId,
        dry_run: bool,
        now_ms: f64,
    ) -> Answer {
        let current = states.get(&zone);
        let is_evacuated = current.is_some_and(|state| {
            state.stage == Stage::Evacuated && state.reason == Reason::Operator
        });
        if is_evacuated {
            return when_chosen(node, zone);
        }
        if let Some(refusal) = self.evacuation_refusal(zone, states, now_ms) {
            return refusal;
        }
        if dry_run {
            return Answer::Done;
        }
        let current_number = current.map_or(0, |state| state.decision_number);
        let time_number = (now_ms / NUMBER_UNIT_MS) as u64 as u32;
        let state = ZoneStatus {
            stage: Stage::Evacuated,
            step: 0,
            decision_number: current_number.max(time_number) + 1,
            reason: Reason::Operator,
        };
        write_state(node, zone, Some(state), now_ms);
        when_chosen(node, zone)
    }

    /// Why a zone may not be evacuated by an operator.
    fn evacuation_refusal(
        &mut self,
        zone: ZoneId,
        states: &BTreeMap<ZoneId, ZoneStatus>,
        now_ms: f64,
    ) -> Option<Answer> {
        let checked = self
            .controller
            .check_evacuation(zone, states, Initiator::Operator, now_ms);
        match checked {
            Ok(()) => None,
            Err(EvacuationRefused::InsufficientCapacity {
                load_threads,
                capacity_threads,
            }) => Some(Answer::InsufficientCapacity {
                load: load_threads as f32,
                remaining: capacity_threads as f32,
            }),
            Err(EvacuationRefused::TooManyCores { fraction }) => {
                Some(Answer::TooManyCoresEvacuated {
                    fraction: fraction as f32,
                })
            }
        }
    }
}

fn return_to_zone(
    node: &mut QuorumNode,
    states: &BTreeMap<ZoneId, ZoneStatus>,
    zone: ZoneId,
    now_ms: f64,
) -> Answer {
    match states.get(&zone) {
        None => Answer::Already,
        Some(state) if state.stage == Stage::Recovering => Answer::Done,
        Some(state) => {
            let returning = ZoneStatus {
                stage: Stage::Recovering,
                step: 0,
                decision_number: state.decision_number.wrapping_add(1),
                reason: Reason::Operator,
            };
            write_state(node, zone, Some(returning), now_ms);
            Answer::Pending
        }
    }
}
