//! Periodic upkeep of the dispatchers' and engines' disruption records: those that are over end, and members that
//! disappeared are recorded as lost.

use super::fleet_state::{FleetState, ReceivedReport};
use crate::quorum_records::propose;
use crate::rollout_config::RolloutConfig;
use std::collections::BTreeMap;
use tansymux_coordination::codec::MAX_RECORDS_PER_MESSAGE;
use tansymux_coordination::{
    DisruptionReason, Id, LeasedRecord, Proposal, QuorumNode, Record, RecordValue, UnitKind,
};
use tansymux_membership::MemberState;

/// Number of lease terms after which a member that did not rejoin is marked lost, counted from the grant of its restart
/// lease.
const LOST_AFTER_TERMS: f64 = 1.5;
/// Limit on the lost members that one evaluation records.
const MAX_LOST_PER_EVALUATION: usize = 24;
/// Limit on the messages with changes of disruptions in one evaluation.
const MAX_CHANGE_MESSAGES: usize = 8;

/// Ends the disruptions of units that are back, or whose lease expired unused. A dispatcher that stopped under a lease and
/// did not rejoin is marked lost.
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
    /// The same disruption with the reason that the dispatcher is lost; it does not expire.
    fn marked_lost(&self) -> Proposal {
        let value = RecordValue::Disruption {
            kind: UnitKind::Dispatcher,
            reason: DisruptionReason::Lost,
            zone: self.zone,
            session: self.session,
            grant_id: self.grant_id,
        };
        Proposal::lasting(self.key, value)
    }

    /// Whether a dispatcher was started under this lease. A new session alone proves nothing: the dispatcher may have
    /// crashed and come back before the holder of the lease uses it.
    fn was_used_by(&self, received: &ReceivedReport) -> bool {
        let report = &received.report;
        report.grant_id == self.grant_id && self.grant_id != 0 && report.session != self.session
    }
}

impl DisruptionUpkeep<'_> {
    /// The changes of disruption records that are due.
    fn changes(&self) -> Vec<Proposal> {
        let ids = self.fleet.members_by_key();
        self.node
            .all_active()
            .filter_map(|leased| self.change(&ids, leased))
            .filter(|change| !self.node.is_ending(change.key))
            .collect()
    }

    /// The change of a record that is due; `None`: the record stays.
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
        let proven_ms = received.map_or(f64::NEG_INFINITY, |received| received.proven_ms);
        let since_ms = self.node.accepted_at_ms(key).unwrap_or(self.now_ms);
        let seen_since = is_present && proven_ms > since_ms;
        if seen_since && received.is_some_and(|received| disruption.was_used_by(received)) {
            return Some(Proposal::tombstone(key));
        }
        match disruption.reason {
            DisruptionReason::RestartLease if disruption.has_expired => {
                // The lease is over for its holder too. If the dispatcher was present after that, it never stopped, or is
                // back without having returned the lease.
                if is_present && proven_ms > self.holder_end_ms(since_ms) {
                    return Some(Proposal::tombstone(key));
                }
                // The dispatcher may have stopped at the very end of the lease; it counts as unavailable until then.
                let lost_after_ms = LOST_AFTER_TERMS * self.config.lease_term_ms;
                let is_lost = !is_present && self.now_ms - since_ms >= lost_after_ms;
                is_lost.then(|| disruption.marked_lost())
            }
            DisruptionReason::Lost if disruption.has_expired || seen_since => {
                Some(Proposal::tombstone(key))
            }
            _ => None,
        }
    }

    /// When a restart lease that was granted at `since_ms` has ended for its holder at the latest (ms).
    fn holder_end_ms(&self, since_ms: f64) -> f64 {
        let max_clock_skew = self.node.config().max_clock_skew;
        since_ms + self.config.lease_term_ms * (1.0 + 2.0 * max_clock_skew)
    }

    /// The record of an absent member that is lost; `None`: the member has a record already, or does not belong to the
    /// fleet.
    fn lost_member(&self, id: Id, state: MemberState) -> Option<Proposal> {
        let key = Record::unit_key(UnitKind::Dispatcher, id);
        if self.node.active(key).is_some() {
            return None;
        }
        // A member that never reported did not belong to this leader's fleet.
        let report = self.fleet.report_of(id)?;
        let has_left = state == MemberState::Left;
        // A member that left no longer belongs to the fleet once its record has ended.
        if has_left && self.node.is_ending(key) {
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
