//! Periodic update of the disruption records of dispatchers and engines: ends records that no longer apply, and records
//! members that disappeared as lost.

use super::fleet_state::{FleetState, ReceivedReport};
use crate::quorum_records::propose;
use crate::rollout_config::RolloutConfig;
use std::collections::BTreeMap;
use tansymux_coordination::codec::MAX_RECORDS_PER_MESSAGE;
use tansymux_coordination::{
    DisruptionReason, Id, LeasedRecord, Proposal, QuorumNode, Record, RecordValue, UnitKind,
};
use tansymux_membership::MemberState;

/// Time from the grant of its restart lease after which a member that did not rejoin is marked lost (lease terms).
const LOST_AFTER_TERMS: f64 = 1.5;
/// Maximum number of lost members that one evaluation records.
const MAX_LOST_PER_EVALUATION: usize = 24;
/// Maximum number of messages with changed disruption records in one evaluation.
const MAX_CHANGE_MESSAGES: usize = 8;

/// Ends the disruptions of units that are back or whose lease expired unused. A dispatcher that stopped under a lease
/// and did not rejoin is marked lost.
pub(super) fn end_disruptions(
    node: &mut QuorumNode,
    fleet: &FleetState,
    config: &RolloutConfig,
    now_ms: f64,
) {
    let upkeep = DisruptionUpkeep {
        node,
        fleet,
        config,
        now_ms,
    };
    let changes = upkeep.changes();
    for chunk in changes
        .chunks(MAX_RECORDS_PER_MESSAGE)
        .take(MAX_CHANGE_MESSAGES)
    {
        propose(node, chunk, now_ms);
    }
}

/// Records members that disappeared without a lease, so that a later leader knows of them.
pub(super) fn record_lost_members(
    node: &mut QuorumNode,
    fleet: &FleetState,
    config: &RolloutConfig,
    now_ms: f64,
) {
    let upkeep = DisruptionUpkeep {
        node,
        fleet,
        config,
        now_ms,
    };
    let lost: Vec<Proposal> = fleet
        .absent_members()
        .filter_map(|(id, state)| upkeep.lost_member(id, state))
        .take(MAX_LOST_PER_EVALUATION)
        .collect();
    for chunk in lost.chunks(MAX_RECORDS_PER_MESSAGE) {
        propose(node, chunk, now_ms);
    }
}

/// The input of an evaluation.
struct DisruptionUpkeep<'a> {
    node: &'a QuorumNode,
    fleet: &'a FleetState,
    config: &'a RolloutConfig,
    now_ms: f64,
}

/// A dispatcher's disruption record.
#[derive(Debug, Clone, Copy)]
struct DispatcherDisruption {
    key: u64,
    reason: DisruptionReason,
    zone: u32,
    session: u32,
    grant_id: u64,
    has_expired: bool,
}

impl DispatcherDisruption {
    /// Returns the proposal that marks the dispatcher as lost. The new record does not expire.
    fn marked_lost(&self) -> Proposal {
        let value = RecordValue::Disruption {
            kind: UnitKind::Dispatcher,
            reason: DisruptionReason::Lost,
            zone: self.zone,
            session: self.session,
            grant_id: self.grant_id,
        };
        Proposal::without_expiry(self.key, value)
    }

    /// Whether the reporting dispatcher was started under this lease. A new session alone does not prove that: the
    /// dispatcher may have crashed and come back before the holder of the lease used it.
    fn was_used_by(&self, received: &ReceivedReport) -> bool {
        let report = &received.report;
        report.grant_id == self.grant_id && self.grant_id != 0 && report.session != self.session
    }
}

impl DisruptionUpkeep<'_> {
    /// Returns the changes of disruption records that are due.
    fn changes(&self) -> Vec<Proposal> {
        let ids = self.fleet.members_by_key();
        self.node
            .all_active()
            .filter_map(|leased| self.change(&ids, leased))
            .filter(|change| !self.node.has_tombstone(change.key))
            .collect()
    }

    /// Returns the change of a record that is due; `None`: the record stays as it is.
    fn change(&self, ids: &BTreeMap<u64, Id>, leased: LeasedRecord) -> Option<Proposal> {
        let RecordValue::Disruption {
            kind,
            reason,
            zone,
            session,
            grant_id,
        } = leased.record.value
        else {
            return None;
        };
        let key = leased.record.key;
        let has_expired = leased.remaining_ms == Some(0);
        if kind == UnitKind::Engine {
            return has_expired.then(|| Proposal::tombstone(key));
        }
        let disruption = DispatcherDisruption {
            key,
            reason,
            zone,
            session,
            grant_id,
            has_expired,
        };
        self.dispatcher_change(disruption, ids.get(&key).copied())
    }

    fn dispatcher_change(
        &self,
        disruption: DispatcherDisruption,
        id: Option<Id>,
    ) -> Option<Proposal> {
        let key = disruption.key;
        let received = id.and_then(|id| self.fleet.received_report(id));
        let is_present = id.is_some_and(|id| self.fleet.is_present(id));
        let present_at_ms = received.map_or(f64::NEG_INFINITY, |received| received.present_at_ms);
        let accepted_ms = self.node.accepted_at_ms(key).unwrap_or(self.now_ms);
        let present_since = is_present && present_at_ms > accepted_ms;
        if present_since && received.is_some_and(|received| disruption.was_used_by(received)) {
            return Some(Proposal::tombstone(key));
        }
        match disruption.reason {
            DisruptionReason::RestartLease if disruption.has_expired => {
                // The lease has ended for its holder too. A dispatcher that was present after that never stopped, or is
                // back without having returned the lease.
                if is_present && present_at_ms > self.holder_end_ms(accepted_ms) {
                    return Some(Proposal::tombstone(key));
                }
                // A dispatcher that stopped just before the lease ended may still be restarting, so it is not marked
                // lost as soon as the lease ends.
                let lost_after_ms = LOST_AFTER_TERMS * self.config.lease_term_ms;
                let is_lost = !is_present && self.now_ms - accepted_ms >= lost_after_ms;
                is_lost.then(|| disruption.marked_lost())
            }
            DisruptionReason::Lost if disruption.has_expired || present_since => {
                Some(Proposal::tombstone(key))
            }
            _ => None,
        }
    }

    /// Latest time at which a restart lease that was accepted at `accepted_ms` ends for its holder (ms).
    fn holder_end_ms(&self, accepted_ms: f64) -> f64 {
        let max_clock_skew = self.node.config().max_clock_skew;
        accepted_ms + self.config.lease_term_ms * (1.0 + 2.0 * max_clock_skew)
    }

    /// Returns the record that marks an absent member as lost; `None`: the member already has a record, or does not
    /// belong to the fleet.
    fn lost_member(&self, id: Id, state: MemberState) -> Option<Proposal> {
        let key = Record::unit_key(UnitKind::Dispatcher, id);
        if self.node.active(key).is_some() {
            return None;
        }
        // A member that never reported to this leader did not belong to its fleet.
        let report = self.fleet.report_of(id)?;
        let has_left = state == MemberState::Left;
        // A member that left no longer belongs to the fleet once its record has ended.
        if has_left && self.node.has_tombstone(key) {
            return None;
        }
        Some(Proposal {
            key,
            value: RecordValue::Disruption {
                kind: UnitKind::Dispatcher,
                reason: DisruptionReason::Lost,
                zone: report.zone,
                session: report.session,
                grant_id: 0,
            },
            term_ms: has_left.then_some(self.config.left_retention_ms),
        })
    }
}
