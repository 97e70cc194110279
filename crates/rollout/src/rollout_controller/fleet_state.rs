//! What the controller knows of the fleet: units, disruptions, load and the status for operators.

use super::{active_halt, active_release, RolloutController, REPORT_RETENTION_MS};
use crate::canary_analysis::AnalysisResult;
use crate::message::{Report, Status};
use crate::rollout_plan::{Participant, Release};
use std::collections::BTreeMap;
use tansymux_coordination::disruption_budget::{
    self, Decision, Disruption, DisruptionRequest, FleetView, Unit, UnitCount,
};
use tansymux_coordination::{
    DisruptionReason, Id, LeasedRecord, QuorumNode, Record, RecordValue, UnitKind,
};
use tansymux_membership::MemberState;

impl RolloutController {
    /// Whether membership finds a dispatcher there.
    pub(super) fn is_present(&self, id: Id) -> bool {
        self.members
            .get(&id)
            .is_some_and(|state| state.is_present())
    }

    pub(super) fn report_of(&self, id: Id) -> Option<Report> {
        self.reports.get(&id).map(|received| received.report)
    }

    pub(super) fn knows_engine(&self, id: Id) -> bool {
        self.engines.iter().any(|engine| engine.id == id)
    }

    /// The ids of all known units by the keys of their records.
    fn ids_by_key(&self, kind: UnitKind) -> BTreeMap<u64, Id> {
        let by_key = |id: &Id| (Record::unit_key(kind, *id), *id);
        match kind {
            UnitKind::Dispatcher => {
                let ids = self.members.keys().chain(self.reports.keys());
                ids.map(by_key).collect()
            }
            UnitKind::Engine => {
                let ids = self.engines.iter().map(|unit| &unit.id);
                ids.map(by_key).collect()
            }
        }
    }

    /// The disruptions of one kind of unit. One of which only the record is known goes by its key.
    pub(super) fn disruptions(&self, node: &QuorumNode, kind: UnitKind) -> Vec<Disruption> {
        let ids = self.ids_by_key(kind);
        let to_disruption = |leased: LeasedRecord| match leased.record.value {
            RecordValue::Disruption {
                kind: record_kind,
                reason,
                grant_id,
                ..
            } if record_kind == kind => Some(Disruption {
                id: ids
                    .get(&leased.record.key)
                    .copied()
                    .unwrap_or(leased.record.key),
                reason,
                grant_id,
            }),
            _ => None,
        };
        node.all_active().filter_map(to_disruption).collect()
    }

    /// The units of one kind that belong to the fleet.
    pub(super) fn units(&self, node: &QuorumNode, kind: UnitKind) -> Vec<Unit> {
        if kind == UnitKind::Engine {
            return self.engines.clone();
        }
        self.members
            .iter()
            .filter_map(|(id, state)| self.dispatcher_unit(node, *id, *state))
            .collect()
    }

    /// A dispatcher as a unit; none: it left or was forgotten, and is no part of the fleet any more.
    fn dispatcher_unit(&self, node: &QuorumNode, id: Id, state: MemberState) -> Option<Unit> {
        let available = state.is_present();
        let has_left = || state == MemberState::Left && !has_disruption(node, id);
        if !available && (self.forgotten.contains(&id) || has_left()) {
            return None;
        }
        let report = self.report_of(id).unwrap_or_default();
        Some(Unit {
            id,
            zone: report.zone,
            version: report.version,
            available,
            capacity: 1.0,
        })
    }

    /// Load of all units of one kind, by recent reports.
    fn load(&self, kind: UnitKind, now_ms: f64) -> f64 {
        let load_of = |report: &Report| match kind {
            UnitKind::Engine => f64::from(report.threads),
            UnitKind::Dispatcher => f64::from(report.utilization),
        };
        self.reports
            .values()
            .filter(|received| now_ms - received.received_ms < REPORT_RETENTION_MS)
            .map(|received| load_of(&received.report).max(0.0))
            .sum()
    }

    /// The dispatchers that take part in a release: one that has not reported its version does not.
    pub(super) fn participants(&self, node: &QuorumNode) -> Vec<Participant> {
        self.units(node, UnitKind::Dispatcher)
            .into_iter()
            .filter(|unit| unit.version != 0)
            .map(|unit| Participant {
                id: unit.id,
                zone: unit.zone,
                version: unit.version,
                available: unit.available,
            })
            .collect()
    }

    /// Decides on a request under the disruption budget.
    pub(super) fn decide(
        &self,
        node: &QuorumNode,
        request: DisruptionRequest,
        now_ms: f64,
    ) -> Decision {
        let units = self.units(node, request.kind);
        let disruptions = self.disruptions(node, request.kind);
        let budget = match request.kind {
            UnitKind::Dispatcher => &self.config.dispatchers,
            UnitKind::Engine => &self.config.engines,
        };
        let view = FleetView {
            units: &units,
            disruptions: &disruptions,
            last_granted_ms: self.last_granted.of(request.kind),
            load: self.load(request.kind, now_ms),
        };
        disruption_budget::evaluate(request, budget, view, now_ms)
    }

    /// Dispatchers that are unavailable without a lease or drain.
    pub(super) fn lost_count(&self, node: &QuorumNode) -> usize {
        let disruptions = self.disruptions(node, UnitKind::Dispatcher);
        let recorded = disruptions
            .iter()
            .filter(|disruption| disruption.reason == DisruptionReason::Lost)
            .count();
        let not_recorded = self
            .members
            .iter()
            .filter(|(id, state)| {
                **state == MemberState::Dead
                    && !self.forgotten.contains(id)
                    && !disruptions.iter().any(|known| known.id == **id)
            })
            .count();
        recorded + not_recorded
    }

    fn count_units(&self, node: &QuorumNode, kind: UnitKind) -> UnitCount {
        let view = FleetView {
            units: &self.units(node, kind),
            disruptions: &self.disruptions(node, kind),
            last_granted_ms: 0.0,
            load: 0.0,
        };
        view.count_all()
    }

    /// The state of the fleet for operators.
    pub(super) fn status(&self, node: &QuorumNode) -> Status {
        let dispatchers = self.count_units(node, UnitKind::Dispatcher);
        let engines = self.count_units(node, UnitKind::Engine);
        let release = active_release(node);
        let participants = self.participants(node);
        let (pairs, mean_difference) = self.analysis_figures();
        Status {
            leader: node.id(),
            members: dispatchers.total as u32,
            unavailable: dispatchers.unavailable as u32,
            lost: self.lost_count(node) as u32,
            engines: engines.total as u32,
            engines_unavailable: engines.unavailable as u32,
            halt: active_halt(node).map(|halt| (halt.reason, halt.number)),
            release,
            released: release.map_or(0, |release| released_count(&release, &participants)),
            remaining: release.map_or(0, |release| remaining_count(&release, &participants)),
            pairs: pairs as u32,
            mean_difference: mean_difference as f32,
        }
    }

    /// Pairs and mean difference of the last analysis.
    fn analysis_figures(&self) -> (usize, f64) {
        match self.analysis_result {
            None => (0, 0.0),
            Some(AnalysisResult::Inconclusive { pairs }) => (pairs, 0.0),
            Some(
                AnalysisResult::NotWorse {
                    pairs,
                    mean_difference,
                }
                | AnalysisResult::Worse {
                    pairs,
                    mean_difference,
                },
            ) => (pairs, mean_difference),
        }
    }
}

fn released_count(release: &Release, participants: &[Participant]) -> u32 {
    let target_version = release.target_version();
    let released = participants
        .iter()
        .filter(|participant| participant.version == target_version);
    released.count() as u32
}

fn remaining_count(release: &Release, participants: &[Participant]) -> u32 {
    let remaining = participants
        .iter()
        .filter(|participant| release.has_to_restart(participant));
    remaining.count() as u32
}

fn has_disruption(node: &QuorumNode, id: Id) -> bool {
    let key = Record::unit_key(UnitKind::Dispatcher, id);
    node.active(key)
        .is_some_and(|leased| matches!(leased.record.value, RecordValue::Disruption { .. }))
}
