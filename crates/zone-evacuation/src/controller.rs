//! The leader's decisions on the evacuation and recovery of zones, based on the reports of all members.
//!
//! The submodule `witnesses` stores and assesses members' reports, `zone_state` holds the state of each zone and
//! decides on its recovery, and `limits` decides whether a zone may be evacuated.

mod limits;
mod witnesses;
mod zone_state;

use crate::{
    Config, Decision, MemberId, MemberReport, QuotaRequest, Reason, Stage, ZoneHealth, ZoneId,
    ZoneStatus, MAX_ZONES,
};
pub use limits::{EvacuationError, Initiator};
use std::collections::BTreeMap;
pub use witnesses::MemberPresence;
use witnesses::Witnesses;
use zone_state::{Transition, ZoneState};

/// Time per decision number (ms). Decision numbers follow the clock, so that a new leader's numbers exceed those of
/// its predecessor.
const DECISION_NUMBER_MS: f64 = 100.0;

fn is_evacuated(status: Option<ZoneStatus>) -> bool {
    status.is_some_and(|status| status.stage == Stage::Evacuated)
}

/// The leader's view of all zones. Its state is soft: a new leader rebuilds it from reports.
#[derive(Debug, Clone)]
pub struct EvacuationController {
    config: Config,
    witnesses: Witnesses,
    zones: BTreeMap<ZoneId, ZoneState>,
    last_decision_number: u32,
}

impl EvacuationController {
    /// Creates a controller without members and zones.
    pub fn new(config: Config) -> Self {
        EvacuationController {
            config,
            witnesses: Witnesses::default(),
            zones: BTreeMap::new(),
            last_decision_number: 0,
        }
    }

    /// Replaces the settings, and keeps members, reports and quotas.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// The settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Drops members, reports and quotas at the start of a leadership. The previous leader's quotas have expired when
    /// the new leader decides. The cores of the zones are kept, because they come from the endpoint list.
    pub fn clear(&mut self) {
        self.witnesses.clear();
        for state in self.zones.values_mut() {
            *state = ZoneState::with_cores(state.cores());
        }
    }

    /// Replaces the number of cores of all zones, as given by the endpoint list.
    pub fn set_capacity(&mut self, cores_by_zone: &[(ZoneId, f64)]) {
        for state in self.zones.values_mut() {
            state.set_cores(0.0);
        }
        for (zone, cores) in cores_by_zone.iter().take(MAX_ZONES) {
            self.zones.entry(*zone).or_default().set_cores(*cores);
        }
    }

    /// Replaces the list of members.
    pub fn set_members(&mut self, members: impl Iterator<Item = MemberPresence>) {
        self.witnesses.set_members(members);
    }

    /// Handles a member's report. Reports of unknown members are ignored.
    pub fn handle_report(&mut self, from: MemberId, report: &MemberReport, now_ms: f64) {
        let Some(previous) = self.witnesses.replace_report(from, report, now_ms) else {
            return;
        };
        // A restarted member counts from zero: its first report is only the base for the next report.
        if previous.session != report.session {
            return;
        }
        for evidence in &report.zones {
            let earlier = previous
                .zones
                .iter()
                .find(|earlier| earlier.zone == evidence.zone);
            let (Some(earlier), Some(state)) = (earlier, self.zones.get_mut(&evidence.zone)) else {
                continue;
            };
            let successes = evidence.successes.wrapping_sub(earlier.successes);
            let failures = evidence.failures.wrapping_sub(earlier.failures);
            state.record_attempts(successes, failures);
        }
    }

    /// The health of a zone according to the members' reports.
    pub fn assess(&self, zone: ZoneId, now_ms: f64) -> ZoneHealth {
        self.witnesses.assess(zone, &self.config, now_ms)
    }

    /// Evaluates all zones, given the statuses that a majority has `agreed` on. Returns new decisions, on which a
    /// majority has to agree.
    pub fn evaluate(
        &mut self,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        now_ms: f64,
    ) -> Vec<Decision> {
        let mut zones: Vec<ZoneId> = self.zones.keys().copied().collect();
        zones.extend(agreed.keys().filter(|zone| !self.zones.contains_key(zone)));
        let mut decisions = Vec::new();
        for zone in zones {
            decisions.extend(self.evaluate_zone(zone, agreed, now_ms));
        }
        decisions
    }

    fn evaluate_zone(
        &mut self,
        zone: ZoneId,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        now_ms: f64,
    ) -> Option<Decision> {
        let health = self.assess(zone, now_ms);
        let status = agreed.get(&zone).copied();
        let state = self.zones.entry(zone).or_default();
        state.record_health(health, now_ms);
        state.record_status(status, self.config.flap_window_ms, now_ms);
        let transition = match status {
            None => self.begin_evacuation(zone, health, agreed, now_ms),
            Some(status) => state.continue_evacuation(status, &self.config, now_ms),
        }?;
        let decision_number = self.next_decision_number(now_ms);
        let status = transition.target.map(|(stage, step)| ZoneStatus {
            stage,
            step,
            decision_number,
            reason: transition.reason,
        });
        Some(Decision {
            zone,
            status,
            reason: transition.reason,
        })
    }

    fn begin_evacuation(
        &self,
        zone: ZoneId,
        health: ZoneHealth,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        now_ms: f64,
    ) -> Option<Transition> {
        if !self.zones[&zone].is_confirmed_lost(&self.config, now_ms) {
            return None;
        }
        self.check_evacuation(zone, agreed, Initiator::Controller, now_ms)
            .ok()?;
        let reason = if health == ZoneHealth::CutOff {
            Reason::CutOff
        } else {
            Reason::Lost
        };
        Some(Transition::evacuate(reason))
    }

    fn next_decision_number(&mut self, now_ms: f64) -> u32 {
        let by_clock = (now_ms / DECISION_NUMBER_MS) as u64 as u32;
        self.last_decision_number = self.last_decision_number.max(by_clock).wrapping_add(1);
        self.last_decision_number
    }

    /// Grants a member its quota of a recovering zone, as a fraction of full use: see [`crate::RampQuotas::request`].
    /// The quota of a zone that is not recovering is 0.
    pub fn request_quota(
        &mut self,
        member: MemberId,
        zone: ZoneId,
        demand: f64,
        status: ZoneStatus,
        now_ms: f64,
    ) -> f64 {
        if status.stage != Stage::Recovering {
            return 0.0;
        }
        let request = QuotaRequest {
            member,
            demand,
            total: self.config.ramp_fraction(status.step),
            term_ms: self.config.quota_term_ms,
            clock_skew: self.config.clock_skew,
        };
        let state = self.zones.entry(zone).or_default();
        state.request_quota(&request, now_ms)
    }

    /// The sum of the quotas of a zone that had not expired at the last request for a quota of the zone.
    pub fn granted_total(&self, zone: ZoneId) -> f64 {
        match self.zones.get(&zone) {
            Some(state) => state.granted_total(),
            None => 0.0,
        }
    }
}
