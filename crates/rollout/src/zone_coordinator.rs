//! Zones of a fleet: connects the leader's evacuation controller and the member's follower (crates/zone-evacuation) with
//! the quorum records and messages.

use crate::message::{Answer, Command, ZoneList};
use crate::rollout_controller::{propose, RolloutController};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use tansymux_coordination::disruption_budget::Unit;
use tansymux_coordination::{Id, LeasedRecord, Proposal, QuorumNode, Record, RecordValue};
use tansymux_zone_evacuation::wire::{stage_of, why_of, Evidence, Plan, Told};
use tansymux_zone_evacuation::{
    Definition, EvacuationController, EvacuationFollower, Fleetwide, Refused, Stage, Why, Zone,
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
fn agreed_states(node: &QuorumNode) -> BTreeMap<Zone, Fleetwide> {
    node.all_active().filter_map(zone_state).collect()
}

/// A record as the state of a zone; none: it is another record, or of a later version.
fn zone_state(leased: LeasedRecord) -> Option<(Zone, Fleetwide)> {
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
    let state = Fleetwide {
        stage: stage_of(stage)?,
        step,
        number,
        why: why_of(reason)?,
    };
    Some((zone, state))
}

fn write_state(node: &mut QuorumNode, zone: Zone, state: Option<Fleetwide>, now_ms: f64) {
    let key = Record::zone_key(zone);
    let proposal = match state {
        Some(state) => Proposal::lasting(
            key,
            RecordValue::Zone {
                zone,
                stage: state.stage as u8,
                step: state.step,
                reason: state.why as u8,
                number: state.number,
            },
        ),
        None => Proposal::tombstone(key),
    };
    propose(node, &[proposal], now_ms);
}

/// Done once a majority accepted the state of a zone.
fn when_chosen(node: &QuorumNode, zone: Zone) -> Answer {
    if node.is_chosen(Record::zone_key(zone)) {
        Answer::Done
    } else {
        Answer::Pending
    }
}

impl ZoneCoordinator {
    /// A member of a zone at its start.
    pub fn new(
        own_zone: Zone,
        definition: Definition,
        session: u32,
        now_ms: f64,
        seed: u64,
    ) -> Self {
        ZoneCoordinator {
            follower: EvacuationFollower::new(own_zone, definition.own_after, now_ms),
            controller: EvacuationController::new(definition),
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
    pub fn set_definition(&mut self, definition: Definition) {
        self.controller.set(definition);
    }

    /// Takes over what this dispatcher observes of zones. `is_isolated`: it takes itself for cut off.
    pub fn observe(&mut self, evidence: Vec<Evidence>, is_isolated: bool) {
        self.evidence = evidence;
        self.is_isolated = is_isolated;
        self.evidence.truncate(MAX_ZONES);
    }

    /// Takes over the engines of the endpoint list: their cores are the capacity of their zone.
    pub fn set_engines(&mut self, engines: &[Unit]) {
        let mut cores: BTreeMap<Zone, f64> = BTreeMap::new();
        for engine in engines {
            *cores.entry(engine.zone).or_default() += engine.capacity;
        }
        let cores: Vec<(Zone, f64)> = cores.into_iter().collect();
        self.controller.capacity(&cores);
    }

    /// The report to the leader that is due; none: nothing before [`ZoneCoordinator::next_poll_ms`].
    pub fn poll(&mut self, now_ms: f64) -> Option<Told> {
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
        Some(Told {
            session: self.session,
            number: self.last_report_number,
            alone: self.is_isolated,
            zones: self.evidence.clone(),
        })
    }

    /// When to poll again (ms).
    pub fn next_poll_ms(&self) -> f64 {
        self.next_report_ms
    }

    /// The leader's answer to a report. Each is taken once; quotas count from when the report was sent.
    pub fn on_plan(&mut self, plan: &Plan, now_ms: f64) {
        let position = self
            .awaited_reports
            .iter()
            .position(|report| report.number == plan.number);
        let Some(report) = position.and_then(|position| self.awaited_reports.remove(position))
        else {
            return;
        };
        let states: Vec<(Zone, Fleetwide)> = plan
            .zones
            .iter()
            .map(|(zone, state, _)| (*zone, *state))
            .collect();
        self.follower.hears(now_ms, &states);
        let definition = self.controller.definition();
        for (zone, state, quota) in &plan.zones {
            self.follower.share(
                *zone,
                state.number,
                f64::from(*quota),
                report.sent_ms,
                definition.term,
                definition.skew,
            );
        }
    }

    /// A member's report, and the answer of a leader that is settled.
    pub fn on_report(
        &mut self,
        rollout: &RolloutController,
        node: &QuorumNode,
        from: Id,
        report: Told,
        now_ms: f64,
    ) -> Option<Plan> {
        let number = report.number;
        let demands: BTreeMap<Zone, f64> = report
            .zones
            .iter()
            .map(|evidence| (evidence.zone, f64::from(evidence.threads)))
            .collect();
        self.controller.told(now_ms, from, report);
        if !rollout.is_settled_leader(node, now_ms) {
            return None;
        }
        let grants_quotas = self.grants_quotas(node, now_ms);
        let mut zones = Vec::new();
        for (zone, state) in agreed_states(node).into_iter().take(MAX_ZONES) {
            let demand = demands.get(&zone).copied().unwrap_or(0.0);
            let quota = if grants_quotas {
                self.controller.share(now_ms, from, zone, demand, state)
            } else {
                0.0
            };
            zones.push((zone, state, quota as f32));
        }
        Some(Plan { number, zones })
    }

    /// Whether all quotas of an earlier leader have ended.
    fn grants_quotas(&self, node: &QuorumNode, now_ms: f64) -> bool {
        let definition = self.controller.definition();
        let wait_ms = definition.term * (1.0 + 2.0 * definition.skew);
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
        let with_zones =
            members.filter_map(|(id, is_present)| Some((id, rollout.zone_of(id)?, is_present)));
        self.controller.members(with_zones);
        if !rollout.is_settled_leader(node, now_ms) {
            return;
        }
        let states = agreed_states(node);
        for decision in self.controller.look(now_ms, &states) {
            // One change of a zone at a time: while a record is not chosen, the next evaluation decides again.
            let key = Record::zone_key(decision.zone);
            if node.active(key).is_none() || node.is_chosen(key) {
                write_state(node, decision.zone, decision.to, now_ms);
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
                    *entry = Some((zone, state, self.controller.out(zone) as f32));
                }
                Answer::Zones(list)
            }
        }
    }

    fn evacuate(
        &mut self,
        node: &mut QuorumNode,
        states: &BTreeMap<Zone, Fleetwide>,
        zone: Zone,
        dry_run: bool,
        now_ms: f64,
    ) -> Answer {
        let current = states.get(&zone);
        let is_evacuated =
            current.is_some_and(|state| state.stage == Stage::Left && state.why == Why::ByHand);
        if is_evacuated {
            return when_chosen(node, zone);
        }
        match self.controller.may_leave(now_ms, zone, states, true) {
            Err(Refused::NotCarried { load, room }) => {
                return Answer::InsufficientCapacity {
                    load: load as f32,
                    remaining: room as f32,
                };
            }
            Err(Refused::TooMuch { part }) => {
                return Answer::TooManyCoresEvacuated {
                    fraction: part as f32,
                };
            }
            Ok(()) if dry_run => return Answer::Done,
            Ok(()) => {}
        }
        let current_number = current.map_or(0, |state| state.number);
        let time_number = (now_ms / NUMBER_UNIT_MS) as u64 as u32;
        let state = Fleetwide {
            stage: Stage::Left,
            step: 0,
            number: current_number.max(time_number) + 1,
            why: Why::ByHand,
        };
        write_state(node, zone, Some(state), now_ms);
        when_chosen(node, zone)
    }
}

fn return_to_zone(
    node: &mut QuorumNode,
    states: &BTreeMap<Zone, Fleetwide>,
    zone: Zone,
    now_ms: f64,
) -> Answer {
    match states.get(&zone) {
        None => Answer::Already,
        Some(state) if state.stage == Stage::Returns => Answer::Done,
        Some(state) => {
            let returning = Fleetwide {
                stage: Stage::Returns,
                step: 0,
                number: state.number.wrapping_add(1),
                why: Why::ByHand,
            };
            write_state(node, zone, Some(returning), now_ms);
            Answer::Pending
        }
    }
}
