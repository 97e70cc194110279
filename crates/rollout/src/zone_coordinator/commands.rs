//! Operators' commands about zones, as the leader answers them.

use super::zone_records::{agreed_statuses, when_chosen, write_status};
use super::ZoneCoordinator;
use crate::message::{Answer, Command, ZoneList};
use crate::rollout_controller::RolloutController;
use std::collections::BTreeMap;
use tansymux_coordination::QuorumNode;
use tansymux_zone_evacuation::codec::ZoneEntry;
use tansymux_zone_evacuation::{
    EvacuationController, EvacuationError, Initiator, Reason, Stage, ZoneId, ZoneStatus,
};

/// Time per decision number (ms). The decision number of an operator's evacuation follows the clock, so that numbers
/// increase across restarts.
const DECISION_NUMBER_UNIT_MS: f64 = 100.0;

impl ZoneCoordinator {
    /// Answers an operator's command about zones.
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
        let statuses = agreed_statuses(node);
        match command {
            Command::EvacuateZone { zone, dry_run } => {
                self.evacuate(node, &statuses, zone, dry_run, now_ms)
            }
            Command::ReturnToZone { zone } => return_to_zone(node, &statuses, zone, now_ms),
            _ => list_zones(&self.controller, statuses),
        }
    }

    fn evacuate(
        &mut self,
        node: &mut QuorumNode,
        statuses: &BTreeMap<ZoneId, ZoneStatus>,
        zone: ZoneId,
        dry_run: bool,
        now_ms: f64,
    ) -> Answer {
        let current = statuses.get(&zone);
        let evacuated_by_operator = current.is_some_and(|status| {
            status.stage == Stage::Evacuated && status.reason == Reason::Operator
        });
        if evacuated_by_operator {
            return when_chosen(node, zone);
        }
        let checked = self
            .controller
            .check_evacuation(zone, statuses, Initiator::Operator, now_ms);
        if let Err(refused) = checked {
            return refused.into();
        }
        if dry_run {
            return Answer::Done;
        }
        let current_number = current.map_or(0, |status| status.decision_number);
        let time_based_number = (now_ms / DECISION_NUMBER_UNIT_MS) as u64 as u32;
        let status = ZoneStatus {
            stage: Stage::Evacuated,
            step: 0,
            decision_number: current_number.max(time_based_number) + 1,
            reason: Reason::Operator,
        };
        write_status(node, zone, Some(status), now_ms);
        when_chosen(node, zone)
    }
}

impl From<EvacuationError> for Answer {
    fn from(refused: EvacuationError) -> Self {
        match refused {
            EvacuationError::InsufficientCapacity {
                load_threads,
                capacity_threads,
            } => Answer::InsufficientCapacity {
                load: load_threads as f32,
                remaining: capacity_threads as f32,
            },
            EvacuationError::TooManyCores { fraction } => Answer::TooManyCoresEvacuated {
                fraction: fraction as f32,
            },
        }
    }
}

fn list_zones(controller: &EvacuationController, statuses: BTreeMap<ZoneId, ZoneStatus>) -> Answer {
    let mut zone_list = ZoneList::default();
    for (entry, (zone, status)) in zone_list.iter_mut().zip(statuses) {
        *entry = Some(ZoneEntry {
            zone,
            status,
            quota: controller.granted_total(zone) as f32,
        });
    }
    Answer::Zones(zone_list)
}

fn return_to_zone(
    node: &mut QuorumNode,
    statuses: &BTreeMap<ZoneId, ZoneStatus>,
    zone: ZoneId,
    now_ms: f64,
) -> Answer {
    match statuses.get(&zone) {
        None => Answer::Already,
        Some(status) if status.stage == Stage::Recovering => Answer::Done,
        Some(status) => {
            let returning = ZoneStatus {
                stage: Stage::Recovering,
                step: 0,
                decision_number: status.decision_number.wrapping_add(1),
                reason: Reason::Operator,
            };
            write_status(node, zone, Some(returning), now_ms);
            Answer::Pending
        }
    }
}
