//! Periodic upkeep of the disruption records: leases that end, members that are lost, engines that fail.

use super::commands::GrantTerms;
use super::{propose, ReceivedReport, RolloutController, REPORT_RETENTION_MS};
use crate::message::Answer;
use std::collections::BTreeMap;
use tansymux_coordination::codec::MAX_RECORDS_PER_MESSAGE;
use tansymux_coordination::disruption_budget::DisruptionRequest;
use tansymux_coordination::{
    DisruptionReason, Id, LeasedRecord, Proposal, QuorumNode, Record, RecordValue, UnitKind,
};
use tansymux_membership::MemberState;

/// A member whose restart lease was granted this many lease terms ago and that did not rejoin is marked lost.
const LOST_AFTER_TERMS: f64 = 1.5;
/// Lost members that are recorded in one evaluation.
const MAX_LOST_PER_EVALUATION: usize = 24;
/// Messages with ended disruptions in one evaluation.
const MAX_END_MESSAGES: usize = 8;

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

impl RolloutController {
    /// Ends the disruptions of units that are back or that did not go in time. A dispatcher that went and did not come
    /// back is marked lost.
    pub(super) fn end_disruptions(&mut self, node: &mut QuorumNode, now_ms: f64) {
        let ids: BTreeMap<u64, Id> = self
            .members
            .keys()
            .map(|id| (Record::unit_key(UnitKind::Dispatcher, *id), *id))
            .collect();
        let mut changes: Vec<Proposal> = node
            .all_active()
            .filter_map(|leased| self.follow_up(node, &ids, leased, now_ms))
            .collect();
        changes.retain(|change| !node.is_ending(change.key));
        for chunk in changes
            .chunks(MAX_RECORDS_PER_MESSAGE)
            .take(MAX_END_MESSAGES)
        {
            propose(node, chunk, now_ms);
        }
    }

    /// What becomes of a record now; none: it stays.
    fn follow_up(
        &self,
        node: &QuorumNode,
        ids: &BTreeMap<u64, Id>,
        leased: LeasedRecord,
        now_ms: f64,
    ) -> Option<Proposal> {
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
        self.follow_up_dispatcher(node, disruption, ids.get(&key).copied(), now_ms)
    }

    fn follow_up_dispatcher(
        &self,
        node: &QuorumNode,
        disruption: DispatcherDisruption,
        id: Option<Id>,
        now_ms: f64,
    ) -> Option<Proposal> {
        let key = disruption.key;
        let received = id.and_then(|id| self.reports.get(&id));
        let is_present = id.is_some_and(|id| self.is_present(id));
        let proven_ms = received.map_or(f64::NEG_INFINITY, |received| received.proven_ms);
        let since_ms = node.accepted_at_ms(key).unwrap_or(now_ms);
        let seen_since = is_present && proven_ms > since_ms;
        if seen_since && received.is_some_and(|received| was_restarted_under(received, disruption))
        {
            return Some(Proposal::tombstone(key));
        }
        let lease_term_ms = self.config.lease_term_ms;
        match disruption.reason {
            DisruptionReason::RestartLease if disruption.has_expired => {
                // The lease is over for its holder too, and the dispatcher was there after that: it never went, or is
                // back without having returned the lease.
                let holder_end_ms =
                    since_ms + lease_term_ms * (1.0 + 2.0 * node.config().max_clock_skew);
                if is_present && proven_ms > holder_end_ms {
                    return Some(Proposal::tombstone(key));
                }
                // It may have stopped at the very end of the lease; it counts as unavailable until then.
                let is_lost = !is_present && now_ms - since_ms >= LOST_AFTER_TERMS * lease_term_ms;
                is_lost.then(|| disruption.marked_lost())
            }
            DisruptionReason::Lost if disruption.has_expired || seen_since => {
                Some(Proposal::tombstone(key))
            }
            _ => None,
        }
    }

    /// Records members that disappeared without a lease, so that a later leader knows of them.
    pub(super) fn record_lost_members(&mut self, node: &mut QuorumNode, now_ms: f64) {
        let members = &self.members;
        self.forgotten.retain(|id| {
            let state = members.get(id);
            state.is_none_or(|state| !state.is_present())
        });
        let mut lost: Vec<Proposal> = self
            .members
            .iter()
            .filter_map(|(id, state)| self.lost_member(node, *id, *state))
            .collect();
        lost.truncate(MAX_LOST_PER_EVALUATION);
        for chunk in lost.chunks(MAX_RECORDS_PER_MESSAGE) {
            propose(node, chunk, now_ms);
        }
    }

    /// The record of a lost member; none: it is there, recorded already, or no part of the fleet.
    fn lost_member(&self, node: &QuorumNode, id: Id, state: MemberState) -> Option<Proposal> {
        let key = Record::unit_key(UnitKind::Dispatcher, id);
        let is_recorded = node.active(key).is_some();
        if state.is_present() || self.forgotten.contains(&id) || is_recorded {
            return None;
        }
        // One that never reported was no part of this leader's fleet.
        let report = self.report_of(id)?;
        let has_left = state == MemberState::Left;
        // Once its record has ended, one that left is no part of the fleet any more.
        if has_left && node.is_ending(key) {
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

    /// Ejects engines that enough dispatchers find failing, where the disruption budget allows it.
    pub(super) fn eject_failing_engines(&mut self, node: &mut QuorumNode, now_ms: f64) {
        let Some(min_witnesses) = self.config.ejection_witnesses else {
            return;
        };
        for witnesses in self.failure_reports.values_mut() {
            witnesses.retain(|_, reported_ms| now_ms - *reported_ms < REPORT_RETENTION_MS);
        }
        self.failure_reports
            .retain(|_, witnesses| !witnesses.is_empty());
        let failing: Vec<Id> = self
            .failure_reports
            .iter()
            .filter(|(_, witnesses)| witnesses.len() >= min_witnesses)
            .map(|(engine, _)| *engine)
            .collect();
        for engine in failing {
            let request = DisruptionRequest {
                id: engine,
                kind: UnitKind::Engine,
                reason: DisruptionReason::Ejected,
                grant_id: 0,
            };
            let terms = GrantTerms {
                session: 0,
                term_ms: Some(self.config.ejection_term_ms),
            };
            let answer = self.grant_disruption(node, request, terms, now_ms);
            if matches!(answer, Answer::Granted { .. } | Answer::Pending) {
                self.failure_reports.remove(&engine);
            }
        }
    }
}

impl DispatcherDisruption {
    /// The same disruption, without an end and with the reason that the dispatcher is lost.
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
}

/// Whether a dispatcher was started under this very lease. Another session alone proves nothing: it may have crashed and
/// come back while the holder of the lease is still about to use it.
fn was_restarted_under(received: &ReceivedReport, disruption: DispatcherDisruption) -> bool {
    let report = &received.report;
    report.grant_id == disruption.grant_id
        && disruption.grant_id != 0
        && report.session != disruption.session
}
