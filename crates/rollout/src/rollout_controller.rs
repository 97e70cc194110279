//! The rollout controller runs on the fleet's leader, and decides on restart leases, drains, ejections and releases.
//!
//! Its state is soft: a new leader collects members' reports for [`RolloutConfig::settle_ms`] before it grants
//! anything. State that must survive a change of leaders is stored in the quorum records.
//!
//! | state | owner |
//! | --- | --- |
//! | members, their reports, engines | `fleet_state` |
//! | when disruptions were last granted | `grants` |
//! | analysis, canaries and waves of the release | `release_progress` |
//! | reports that engines fail | `engine_failures` |
//! | members whose records differ | `record_requests` |

mod commands;
mod disruption_upkeep;
mod engine_failures;
mod fleet_state;
mod grants;
mod record_requests;
mod release_progress;
mod status;

use crate::message::{Answer, Report};
use crate::rollout_config::RolloutConfig;
use engine_failures::EngineFailures;
use fleet_state::{FleetState, ReceivedReport, ReportUpdate};
use grants::{DisruptionGrants, GrantRequest};
use record_requests::RecordRequests;
use release_progress::ReleaseProgress;
use tansymux_coordination::disruption_budget::{DisruptionRequest, Unit};
use tansymux_coordination::{DisruptionReason, Id, QuorumNode, UnitKind};
use tansymux_membership::MemberState;

/// Tolerance for ticks that seem to precede the start of the leadership (ms): a tick is truncated to whole
/// milliseconds, so the leader's own first ticks may seem up to 1 ms too early.
const TICK_TOLERANCE_MS: f64 = 1.0;

/// The leader's soft state and its decisions.
#[derive(Debug, Clone)]
pub struct RolloutController {
    config: RolloutConfig,
    /// Start of the leadership to which the state belongs (ms).
    leader_since_ms: Option<f64>,
    fleet: FleetState,
    grants: DisruptionGrants,
    progress: ReleaseProgress,
    engine_failures: EngineFailures,
    record_requests: RecordRequests,
}

impl RolloutController {
    /// Creates a controller without knowledge of the fleet.
    pub fn new(config: RolloutConfig) -> Self {
        RolloutController {
            config,
            leader_since_ms: None,
            fleet: FleetState::default(),
            grants: DisruptionGrants::granted_at(f64::NEG_INFINITY),
            progress: ReleaseProgress::default(),
            engine_failures: EngineFailures::default(),
            record_requests: RecordRequests::default(),
        }
    }

    /// Replaces the configuration. If a limit is now below the number of unavailable units, no further disruption is
    /// granted, and none is revoked.
    pub fn set_config(&mut self, config: RolloutConfig) {
        self.config = config;
    }

    /// The configuration.
    pub fn config(&self) -> &RolloutConfig {
        &self.config
    }

    /// Replaces the members by those that membership knows, including this member.
    pub fn set_members(&mut self, members: impl Iterator<Item = (Id, MemberState)>) {
        self.fleet.set_members(members);
    }

    /// Replaces the known engines by those of this dispatcher's endpoint list.
    pub fn set_engines(&mut self, engines: &[Unit]) {
        self.fleet.set_engines(engines);
    }

    /// Records whether the digest in a member's report differs from the leader's, and returns whether to request the
    /// member's records.
    pub fn should_request_records(
        &mut self,
        node: &QuorumNode,
        from: Id,
        differs: bool,
        now_ms: f64,
    ) -> bool {
        if !differs {
            self.record_requests.on_equal_records(from);
            return false;
        }
        let is_new_leader = node
            .leader_since_ms()
            .is_some_and(|since_ms| now_ms - since_ms < self.config.settle_ms);
        self.record_requests
            .on_differing_records(from, is_new_leader, now_ms)
    }

    /// Records a member's report.
    pub fn on_report(&mut self, node: &QuorumNode, from: Id, report: Report, now_ms: f64) {
        let present_at_ms = self
            .tick_sent_at_ms(report.echoed_tick, now_ms)
            .unwrap_or(f64::NEG_INFINITY);
        let received = ReceivedReport {
            report,
            received_ms: now_ms,
            present_at_ms,
        };
        let ReportUpdate::Recorded { previous } = self.fleet.record_report(from, received) else {
            return;
        };
        if let Some(previous) = previous {
            self.progress
                .count_requests(node, &self.config.plan, &previous, &report, now_ms);
        }
        let ejects_engines = self.config.ejection_witnesses.is_some();
        let engine = report.failing_engine;
        if engine != 0 && ejects_engines && self.fleet.knows_engine(engine) {
            self.engine_failures.record(engine, from, now_ms);
        }
    }

    /// The tick to send at a time: the low 32 bits of the time in milliseconds.
    pub fn tick(now_ms: f64) -> u32 {
        now_ms.max(0.0) as u64 as u32
    }

    /// When this leader sent a tick (ms); `None` for a tick that precedes its leadership.
    fn tick_sent_at_ms(&self, tick: u32, now_ms: f64) -> Option<f64> {
        let age_ms = f64::from(RolloutController::tick(now_ms).wrapping_sub(tick));
        let sent_ms = now_ms - age_ms;
        let leader_since_ms = self.leader_since_ms?;
        (sent_ms >= leader_since_ms - TICK_TOLERANCE_MS).then_some(sent_ms)
    }

    /// The zone that a member reported.
    pub fn zone_of(&self, id: Id) -> Option<u32> {
        self.fleet.zone_of(UnitKind::Dispatcher, id)
    }

    /// Whether this node leads, and has collected reports for [`RolloutConfig::settle_ms`].
    pub fn is_settled_leader(&self, node: &QuorumNode, now_ms: f64) -> bool {
        let is_settled = node
            .leader_since_ms()
            .is_some_and(|since_ms| now_ms - since_ms >= self.config.settle_ms);
        node.is_leader(now_ms) && is_settled
    }

    /// Runs the periodic evaluation: ends leases, records lost members, ejects engines and advances the release.
    pub fn evaluate(&mut self, node: &mut QuorumNode, now_ms: f64) {
        if node.leader_since_ms() != self.leader_since_ms {
            self.leader_since_ms = node.leader_since_ms();
            self.reset(now_ms);
        }
        if !self.is_settled_leader(node, now_ms) {
            return;
        }
        disruption_upkeep::end_disruptions(node, &self.fleet, &self.config, now_ms);
        self.fleet.drop_returned_from_forgotten();
        disruption_upkeep::record_lost_members(node, &self.fleet, &self.config, now_ms);
        self.eject_failing_engines(node, now_ms);
        self.progress
            .evaluate(node, &self.fleet, &self.config, now_ms);
    }

    /// Drops the state that belongs to the previous leadership. Members, reports and engines are kept.
    fn reset(&mut self, now_ms: f64) {
        self.progress = ReleaseProgress::default();
        // The previous leader may have granted a disruption immediately before the change.
        self.grants = DisruptionGrants::granted_at(now_ms);
        self.engine_failures.clear();
        self.record_requests.clear();
    }

    /// Ejects engines that enough dispatchers report as failing, if the disruption budget allows it.
    fn eject_failing_engines(&mut self, node: &mut QuorumNode, now_ms: f64) {
        let Some(min_witnesses) = self.config.ejection_witnesses else {
            return;
        };
        for engine in self.engine_failures.failing_engines(min_witnesses, now_ms) {
            let request = GrantRequest {
                disruption: DisruptionRequest {
                    id: engine,
                    kind: UnitKind::Engine,
                    reason: DisruptionReason::Ejected,
                    grant_id: 0,
                },
                session: 0,
                term_ms: Some(self.config.ejection_term_ms),
            };
            let answer = self
                .grants
                .grant(node, &self.fleet, &self.config, request, now_ms);
            if matches!(answer, Answer::Granted { .. } | Answer::Pending) {
                self.engine_failures.remove(engine);
            }
        }
    }
}
