//! Grants disruptions under the disruption budget.

use super::fleet_state::FleetState;
use crate::message::Answer;
use crate::quorum_records::{active_halt, when_chosen};
use crate::rollout_config::RolloutConfig;
use tansymux_coordination::disruption_budget::{self, Decision, DisruptionRequest, FleetView};
use tansymux_coordination::{Proposal, QuorumNode, Record, RecordValue, UnitKind};

/// A request for a disruption, with the session and term of its record.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantRequest {
    pub(super) disruption: DisruptionRequest,
    /// The dispatcher's session that the disruption ends; 0 for engines.
    pub(super) session: u32,
    /// Time until the record expires (ms); `None`: it does not expire.
    pub(super) term_ms: Option<f64>,
}

/// When the last disruption of each kind of unit was granted.
#[derive(Debug, Clone, Copy)]
pub(super) struct DisruptionGrants {
    last_dispatcher_ms: f64,
    last_engine_ms: f64,
}

impl DisruptionGrants {
    /// The state as if a disruption of each kind of unit had been granted at `now_ms`.
    pub(super) fn granted_at(now_ms: f64) -> Self {
        DisruptionGrants {
            last_dispatcher_ms: now_ms,
            last_engine_ms: now_ms,
        }
    }

    fn last_granted_ms(&self, kind: UnitKind) -> f64 {
        match kind {
            UnitKind::Dispatcher => self.last_dispatcher_ms,
            UnitKind::Engine => self.last_engine_ms,
        }
    }

    fn record_grant(&mut self, kind: UnitKind, now_ms: f64) {
        match kind {
            UnitKind::Dispatcher => self.last_dispatcher_ms = now_ms,
            UnitKind::Engine => self.last_engine_ms = now_ms,
        }
    }

    /// Grants a disruption if the budget allows it and no halt is in force.
    pub(super) fn grant(
        &mut self,
        node: &mut QuorumNode,
        fleet: &FleetState,
        config: &RolloutConfig,
        request: GrantRequest,
        now_ms: f64,
    ) -> Answer {
        if let Some(halt) = active_halt(node) {
            return halt.into();
        }
        let decision = self.decide(node, fleet, config, request.disruption, now_ms);
        if decision == Decision::Granted {
            self.write_grant(node, fleet, request, now_ms);
        }
        answer(node, request.disruption, decision)
    }

    /// The decision on a request under the disruption budget.
    fn decide(
        &self,
        node: &QuorumNode,
        fleet: &FleetState,
        config: &RolloutConfig,
        request: DisruptionRequest,
        now_ms: f64,
    ) -> Decision {
        let budget = match request.kind {
            UnitKind::Dispatcher => &config.dispatchers,
            UnitKind::Engine => &config.engines,
        };
        let view = FleetView {
            units: &fleet.units(node, request.kind),
            disruptions: &fleet.disruptions(node, request.kind),
            last_granted_ms: self.last_granted_ms(request.kind),
            load: fleet.load(request.kind, now_ms),
        };
        disruption_budget::evaluate(request, budget, view, now_ms)
    }

    fn write_grant(
        &mut self,
        node: &mut QuorumNode,
        fleet: &FleetState,
        request: GrantRequest,
        now_ms: f64,
    ) {
        let DisruptionRequest {
            id,
            kind,
            reason,
            grant_id,
        } = request.disruption;
        let proposal = Proposal {
            key: Record::unit_key(kind, id),
            value: RecordValue::Disruption {
                kind,
                reason,
                zone: fleet.zone_of(kind, id).unwrap_or(0),
                session: request.session,
                grant_id,
            },
            term_ms: request.term_ms,
        };
        if node.propose(&[proposal], now_ms).is_ok() {
            self.record_grant(kind, now_ms);
        }
    }
}

/// Returns the answer to a granted request: the remaining term of its record, without the margin for clock skew that
/// the record includes.
fn granted(node: &QuorumNode, key: u64) -> Answer {
    let remaining_ms = node
        .active(key)
        .and_then(|leased| leased.remaining_ms)
        .unwrap_or(0);
    let term_ms = f64::from(remaining_ms) / (1.0 + node.config().max_clock_skew);
    let answer = Answer::Granted {
        remaining_ms: term_ms as u32,
    };
    when_chosen(node, key, answer)
}

/// Returns the answer for a decision of the disruption budget.
fn answer(node: &QuorumNode, request: DisruptionRequest, decision: Decision) -> Answer {
    let key = Record::unit_key(request.kind, request.id);
    match decision {
        Decision::Granted => granted(node, key),
        // A disruption that is being ended is not granted again.
        Decision::AlreadyGranted if node.has_tombstone(key) => Answer::AlreadyOut {
            reason: request.reason,
        },
        Decision::AlreadyGranted => granted(node, key),
        Decision::BudgetExhausted {
            scope,
            unavailable,
            max_unavailable,
        } => Answer::BudgetExhausted {
            scope,
            unavailable: unavailable as u32,
            max_unavailable: max_unavailable as u32,
        },
        Decision::TooSoon { wait_ms } => Answer::TooSoon {
            wait_ms: wait_ms.ceil() as u32,
        },
        Decision::AlreadyOut { reason } => Answer::AlreadyOut { reason },
        Decision::InsufficientCapacity { load, remaining } => Answer::InsufficientCapacity {
            load: load as f32,
            remaining: remaining as f32,
        },
        Decision::UnknownUnit => Answer::UnknownUnit,
    }
}
