//! Members' reports at the leader, and the rules by which a report counts as evidence.

use crate::{Config, Evidence, MemberId, MemberReport, Reachability, ZoneHealth, ZoneId};
use std::collections::BTreeMap;

/// Lifetime of a report as evidence (ms): several report intervals.
const REPORT_LIFETIME_MS: f64 = 4000.0;
/// Maximum number of members, the same as in crates/membership.
const MAX_MEMBERS: usize = 1024;

/// A member of the fleet: its state according to membership, and the zone that it reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberPresence {
    /// The member.
    pub id: MemberId,
    /// The zone in which the member runs.
    pub zone: ZoneId,
    /// Whether the member is running according to membership.
    pub is_present: bool,
}

#[derive(Debug, Clone)]
struct ReceivedReport {
    received_ms: f64,
    report: MemberReport,
}

#[derive(Debug, Clone)]
struct Witness {
    zone: ZoneId,
    is_present: bool,
    last_report: Option<ReceivedReport>,
}

/// All members and their latest reports.
#[derive(Debug, Clone, Default)]
pub(super) struct Witnesses {
    members: BTreeMap<MemberId, Witness>,
}

impl Witnesses {
    pub(super) fn clear(&mut self) {
        self.members.clear();
    }

    pub(super) fn set_members(&mut self, members: impl Iterator<Item = MemberPresence>) {
        for witness in self.members.values_mut() {
            witness.is_present = false;
        }
        for member in members.take(MAX_MEMBERS) {
            let witness = self.members.entry(member.id).or_insert(Witness {
                zone: member.zone,
                is_present: member.is_present,
                last_report: None,
            });
            witness.zone = member.zone;
            witness.is_present = member.is_present;
        }
        self.members
            .retain(|_, witness| witness.is_present || witness.last_report.is_some());
    }

    /// Replaces a member's report. Returns the previous report.
    pub(super) fn replace_report(
        &mut self,
        from: MemberId,
        report: &MemberReport,
        now_ms: f64,
    ) -> Option<MemberReport> {
        let witness = self.members.get_mut(&from)?;
        let received = ReceivedReport {
            received_ms: now_ms,
            report: report.clone(),
        };
        let previous = witness.last_report.replace(received);
        previous.map(|previous| previous.report)
    }

    /// Recent evidence about a zone, with the zone of the reporting member. Isolated members do not count as witnesses.
    fn evidence(
        &self,
        zone: ZoneId,
        now_ms: f64,
    ) -> impl Iterator<Item = (ZoneId, &Evidence)> + '_ {
        self.members.values().filter_map(move |witness| {
            let last_report = witness.last_report.as_ref()?;
            let evidence = last_report
                .report
                .zones
                .iter()
                .find(|evidence| evidence.zone == zone)?;
            let is_recent = now_ms - last_report.received_ms < REPORT_LIFETIME_MS;
            let is_valid = is_recent && witness.is_present && !last_report.report.is_isolated;
            is_valid.then_some((witness.zone, evidence))
        })
    }

    /// The health of a zone according to the evidence.
    pub(super) fn assess(&self, zone: ZoneId, config: &Config, now_ms: f64) -> ZoneHealth {
        let mut unreached = 0;
        let mut reached = 0;
        let mut reached_from_inside = false;
        for (member_zone, evidence) in self.evidence(zone, now_ms) {
            let is_reached = evidence.reachability.is_reached();
            if member_zone == zone {
                reached_from_inside |= is_reached;
            } else if is_reached {
                reached += 1;
            } else if evidence.reachability == Reachability::Unreachable {
                unreached += 1;
            }
        }
        let outside_members = self
            .members
            .values()
            .filter(|witness| witness.is_present && witness.zone != zone)
            .count();
        let witness_count = unreached + reached;
        if witness_count == 0
            || f64::from(witness_count) < config.min_witness_fraction * outside_members as f64
        {
            return ZoneHealth::Unknown;
        }
        if f64::from(unreached) >= config.lost_fraction * f64::from(witness_count) {
            return if reached_from_inside {
                ZoneHealth::CutOff
            } else {
                ZoneHealth::Lost
            };
        }
        if unreached > 0 {
            ZoneHealth::PartlyUnreachable
        } else {
            ZoneHealth::Reachable
        }
    }

    /// The load of all members on a zone (threads).
    pub(super) fn load_threads(&self, zone: ZoneId, now_ms: f64) -> f64 {
        self.evidence(zone, now_ms)
            .map(|(_, evidence)| f64::from(evidence.threads).max(0.0))
            .sum()
    }
}
