//! The leader's knowledge of the fleet: members, their reports, and engines. Units, disruptions and load are derived
//! from it and the quorum records.

use crate::message::Report;
use crate::rollout_plan::Participant;
use std::collections::{BTreeMap, BTreeSet};
use tansymux_coordination::disruption_budget::{Disruption, FleetView, Unit, UnitCount};
use tansymux_coordination::{
    DisruptionReason, Id, LeasedRecord, QuorumNode, Record, RecordValue, UnitKind,
};
use tansymux_membership::MemberState;

/// Maximum number of members whose states and reports are stored.
const MAX_MEMBERS: usize = 1024;
/// Time for which the load and the failing engine of a report count (ms). Whether a member is present is decided by
/// membership.
pub(super) const REPORT_RETENTION_MS: f64 = 10_000.0;

/// A member's last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ReceivedReport {
    pub(super) report: Report,
    pub(super) received_ms: f64,
    /// A time at which the member was certainly present (ms): when the leader sent the tick that the report echoes. The
    /// report may arrive late, but a tick is never echoed before it was sent.
    pub(super) present_at_ms: f64,
}

/// The outcome of [`FleetState::record_report`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ReportUpdate {
    /// The table is full, or a more recent report arrived first.
    Ignored,
    /// The report is now the member's last one.
    Recorded {
        /// The member's previous report.
        previous: Option<Report>,
    },
}

/// Members, reports and engines.
#[derive(Debug, Clone, Default)]
pub(super) struct FleetState {
    members: BTreeMap<Id, MemberState>,
    reports: BTreeMap<Id, ReceivedReport>,
    /// Sorted by id.
    engines: Vec<Unit>,
    /// Members that will not come back, according to an operator's command.
    forgotten: BTreeSet<Id>,
}

impl FleetState {
    /// Replaces the members.
    pub(super) fn set_members(&mut self, members: impl Iterator<Item = (Id, MemberState)>) {
        self.members.clear();
        self.members.extend(members.take(MAX_MEMBERS));
    }

    /// Replaces the engines.
    pub(super) fn set_engines(&mut self, engines: &[Unit]) {
        self.engines = engines.to_vec();
        self.engines.sort_by_key(|unit| unit.id);
    }

    /// Stores a member's report, unless a more recent one arrived first.
    pub(super) fn record_report(&mut self, from: Id, received: ReceivedReport) -> ReportUpdate {
        if self.reports.len() >= MAX_MEMBERS && !self.reports.contains_key(&from) {
            return ReportUpdate::Ignored;
        }
        let previous = self.reports.get(&from).copied();
        if previous.is_some_and(|previous| received.present_at_ms < previous.present_at_ms) {
            return ReportUpdate::Ignored;
        }
        self.reports.insert(from, received);
        ReportUpdate::Recorded {
            previous: previous.map(|previous| previous.report),
        }
    }

    /// Records that a member will not come back.
    pub(super) fn forget(&mut self, id: Id) {
        self.forgotten.insert(id);
    }

    /// Drops a member from the forgotten members once it is present again.
    pub(super) fn drop_returned_from_forgotten(&mut self) {
        let members = &self.members;
        self.forgotten.retain(|id| {
            let state = members.get(id);
            state.is_none_or(|state| !state.is_present())
        });
    }

    /// Whether a dispatcher is present, according to membership.
    pub(super) fn is_present(&self, id: Id) -> bool {
        self.members
            .get(&id)
            .is_some_and(|state| state.is_present())
    }

    /// The last report of a member, with its times.
    pub(super) fn received_report(&self, id: Id) -> Option<&ReceivedReport> {
        self.reports.get(&id)
    }

    /// The last report of a member.
    pub(super) fn report_of(&self, id: Id) -> Option<Report> {
        self.reports.get(&id).map(|received| received.report)
    }

    /// The zone of a unit; `None` if it is unknown.
    pub(super) fn zone_of(&self, kind: UnitKind, id: Id) -> Option<u32> {
        match kind {
            UnitKind::Dispatcher => self.report_of(id).map(|report| report.zone),
            UnitKind::Engine => {
                let engine = self.engines.iter().find(|unit| unit.id == id);
                engine.map(|unit| unit.zone)
            }
        }
    }

    pub(super) fn knows_engine(&self, id: Id) -> bool {
        self.engines.iter().any(|engine| engine.id == id)
    }

    /// Member ids by the keys of their disruption records.
    pub(super) fn members_by_key(&self) -> BTreeMap<u64, Id> {
        self.members
            .keys()
            .map(|id| (Record::unit_key(UnitKind::Dispatcher, *id), *id))
            .collect()
    }

    /// Members that are neither present nor forgotten, with their state.
    pub(super) fn absent_members(&self) -> impl Iterator<Item = (Id, MemberState)> + '_ {
        self.members
            .iter()
            .filter(|(id, state)| !state.is_present() && !self.forgotten.contains(id))
            .map(|(id, state)| (*id, *state))
    }

    /// Ids of all known units of one kind, by the keys of their disruption records.
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

    /// The disruptions on record of one kind of unit. If the unit of a record is unknown, the record's key serves as
    /// its id.
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

    /// A dispatcher as a unit; `None`: it left or was forgotten, and no longer belongs to the fleet.
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

    /// Total load of all units of one kind by recent reports: threads for engines, utilization fractions for
    /// dispatchers.
    pub(super) fn load(&self, kind: UnitKind, now_ms: f64) -> f64 {
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

    /// The dispatchers that take part in a release: all that have reported their version.
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

    /// Number of lost dispatchers: those recorded as lost, and dead members without a record.
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

    /// Numbers of all units and of unavailable units of one kind.
    pub(super) fn count_units(&self, node: &QuorumNode, kind: UnitKind) -> UnitCount {
        let view = FleetView {
            units: &self.units(node, kind),
            disruptions: &self.disruptions(node, kind),
            last_granted_ms: 0.0,
            load: 0.0,
        };
        view.count_all()
    }
}

/// Whether a dispatcher has a disruption on record.
fn has_disruption(node: &QuorumNode, id: Id) -> bool {
    let key = Record::unit_key(UnitKind::Dispatcher, id);
    node.active(key)
        .is_some_and(|leased| matches!(leased.record.value, RecordValue::Disruption { .. }))
}
