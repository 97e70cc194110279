//! Evacuation of zones in a fleet: connects the leader's evacuation controller and the member's follower
//! (crates/zone-evacuation) with the quorum records and messages.

mod commands;
mod reporter;
mod zone_records;

use crate::rollout_controller::RolloutController;
use reporter::ZoneReporter;
use std::collections::BTreeMap;
use tansymux_coordination::disruption_budget::Unit;
use tansymux_coordination::{Id, QuorumNode, Record};
use tansymux_zone_evacuation::codec::{LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::{
    Config, EvacuationController, EvacuationFollower, Evidence, FollowerEvent, MemberPresence,
    MemberReport, QuotaGrant, ZoneId, ZoneStatus, MAX_ZONES,
};
use zone_records::{agreed_statuses, write_status};

/// Interval between two evaluations by the leader (ms).
const EVALUATION_INTERVAL_MS: f64 = 200.0;

/// Zone evacuation at one member: the member's use of zones and, at the leader, the decisions on evacuations.
#[derive(Debug, Clone)]
pub struct ZoneCoordinator {
    controller: EvacuationController,
    /// This member's use of zones.
    pub follower: EvacuationFollower,
    /// Start of the leadership to which the controller's state belongs (ms).
    leader_since_ms: Option<f64>,
    last_evaluation_ms: f64,
    reporter: ZoneReporter,
}

impl ZoneCoordinator {
    /// Creates the coordinator of a member in `local_zone`. `seed` must be drawn at random at each start.
    pub fn new(local_zone: ZoneId, config: Config, session: u32, now_ms: f64, seed: u64) -> Self {
        ZoneCoordinator {
            follower: EvacuationFollower::new(local_zone, config.autonomy_after_ms, now_ms),
            controller: EvacuationController::new(config),
            leader_since_ms: None,
            last_evaluation_ms: f64::NEG_INFINITY,
            reporter: ZoneReporter::new(session, seed),
        }
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, config: Config) {
        self.controller.set_config(config);
    }

    /// Replaces this dispatcher's observations of zones. `is_isolated`: whether the dispatcher reaches no zone.
    pub fn observe(&mut self, evidence: Vec<Evidence>, is_isolated: bool) {
        self.reporter.set_evidence(evidence, is_isolated);
    }

    /// Replaces the engines by those of the endpoint list. The capacity of a zone is the sum of its engines' cores.
    pub fn set_engines(&mut self, engines: &[Unit]) {
        let mut cores: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for engine in engines {
            *cores.entry(engine.zone).or_default() += engine.capacity;
        }
        let cores: Vec<(ZoneId, f64)> = cores.into_iter().collect();
        self.controller.set_capacity(&cores);
    }

    /// Returns the report to the leader that is due; `None`: nothing is due before [`ZoneCoordinator::next_poll_ms`].
    pub fn poll(&mut self, now_ms: f64) -> Option<MemberReport> {
        self.reporter.poll(now_ms)
    }

    /// When to poll next (ms).
    pub fn next_poll_ms(&self) -> f64 {
        self.reporter.next_report_ms()
    }

    /// Handles the leader's answer to a report; further answers to the same report are ignored. The term of a quota
    /// counts from the time at which the report was sent.
    pub fn on_plan(&mut self, reply: &LeaderReply, now_ms: f64) {
        let Some(sent_ms) = self.reporter.take_sent_ms(reply.sequence_number) else {
            return;
        };
        let statuses: Vec<(ZoneId, ZoneStatus)> = reply
            .zones
            .iter()
            .map(|entry| (entry.zone, entry.status))
            .collect();
        self.follower
            .handle(FollowerEvent::DecisionsReceived(&statuses), now_ms);
        let config = self.controller.config();
        for entry in &reply.zones {
            let grant = QuotaGrant {
                zone: entry.zone,
                decision_number: entry.status.decision_number,
                quota: f64::from(entry.quota),
                requested_ms: sent_ms,
                term_ms: config.quota_term_ms,
                clock_skew: config.clock_skew,
            };
            self.follower
                .handle(FollowerEvent::QuotaReceived(grant), now_ms);
        }
    }

    /// Handles a member's report; returns the answer if this node is a settled leader.
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
        let may_grant_quotas = self.may_grant_quotas(node, now_ms);
        let mut zones = Vec::new();
        for (zone, status) in agreed_statuses(node).into_iter().take(MAX_ZONES) {
            let demand = demands.get(&zone).copied().unwrap_or(0.0);
            let quota = if may_grant_quotas {
                self.controller
                    .request_quota(from, zone, demand, status, now_ms)
            } else {
                0.0
            };
            zones.push(ZoneEntry {
                zone,
                status,
                quota: quota as f32,
            });
        }
        Some(LeaderReply {
            sequence_number: report.sequence_number,
            zones,
        })
    }

    /// Whether this leader may grant quotas: all quotas that an earlier leader granted have expired.
    fn may_grant_quotas(&self, node: &QuorumNode, now_ms: f64) -> bool {
        let config = self.controller.config();
        let wait_ms = config.quota_term_ms * (1.0 + 2.0 * config.clock_skew);
        node.leader_since_ms()
            .is_some_and(|since_ms| now_ms - since_ms >= wait_ms)
    }

    /// Runs the leader's periodic evaluation of members' observations. `members`: the members' ids, and whether each
    /// member is present.
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
        let statuses = agreed_statuses(node);
        for decision in self.controller.evaluate(&statuses, now_ms) {
            // A zone has at most one change in flight: while its record is not chosen, this decision is skipped, and
            // the next evaluation decides again.
            let key = Record::zone_key(decision.zone);
            if node.active(key).is_none() || node.is_chosen(key) {
                write_status(node, decision.zone, decision.status, now_ms);
            }
        }
    }
}
