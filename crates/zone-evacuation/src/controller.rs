//! The leader's decisions: which zones are evacuated and how they recover, by the reports of all members.
//!
//! The submodule `witnesses` stores and assesses members' reports; `limits` decides whether a zone may be evacuated.

mod limits;
mod witnesses;

use crate::{
    Config, Decision, MemberId, MemberReport, QuotaRequest, RampQuotas, Reason, Stage, ZoneHealth,
    ZoneId, ZoneStatus, MAX_ZONES,
};
pub use limits::{EvacuationRefused, Initiator};
use std::collections::BTreeMap;
pub use witnesses::MemberPresence;
use witnesses::Witnesses;

/// Limit on the fraction of a ramp step's attempts that fail, for the next step.
const MAX_FAILURES_TO_ADVANCE: f64 = 0.1;
/// Limit on the fraction of a ramp step's attempts that fail; beyond it the recovery is set back.
const MAX_FAILURES_TO_STAY: f64 = 0.3;
/// Minimum number of attempts in a ramp step for its failures to count.
const MIN_ATTEMPTS: u32 = 3;
/// Minimum fraction of a ramp step's length before it is set back.
const MIN_STEP_FRACTION: f64 = 0.25;
/// Limit on the number of times that the minimum evacuation time is doubled.
const MAX_FLAP_DOUBLINGS: u32 = 20;
/// Unit of time of decision numbers (ms): they follow the clock, so that a new leader's are above its predecessor's.
const DECISION_NUMBER_MS: f64 = 100.0;

/// The controller's state of one zone.
#[derive(Debug, Clone, Default)]
struct ZoneWatch {
    cores: f64,
    /// Since when all assessments found the zone lost or cut off.
    lost_since_ms: Option<f64>,
    /// Since when all assessments found the zone reachable.
    reached_since_ms: Option<f64>,
    /// The agreed status at the last evaluation.
    status: Option<ZoneStatus>,
    /// When the agreed status last changed.
    status_since_ms: f64,
    /// Successful attempts of all members under this status.
    successes: u32,
    /// Failed attempts of all members under this status.
    failures: u32,
    quotas: RampQuotas,
    /// When the zone was last evacuated.
    evacuated_ms: f64,
    /// Number of evacuations in a row, each within the flap window of the one before.
    evacuations: u32,
}

impl ZoneWatch {
    fn record_health(&mut self, health: ZoneHealth, now_ms: f64) {
        self.lost_since_ms = if matches!(health, ZoneHealth::Lost | ZoneHealth::CutOff) {
            self.lost_since_ms.or(Some(now_ms))
        } else {
            None
        };
        self.reached_since_ms = if health == ZoneHealth::Reachable {
            self.reached_since_ms.or(Some(now_ms))
        } else {
            None
        };
    }

    fn record_status(&mut self, status: Option<ZoneStatus>, flap_window_ms: f64, now_ms: f64) {
        if self.status == status {
            return;
        }
        if is_evacuated(status) && !is_evacuated(self.status) {
            let is_flapping = now_ms - self.evacuated_ms < flap_window_ms;
            self.evacuations = if is_flapping { self.evacuations + 1 } else { 1 };
            self.evacuated_ms = now_ms;
        }
        self.status = status;
        self.status_since_ms = now_ms;
        self.successes = 0;
        self.failures = 0;
    }
}

fn is_evacuated(status: Option<ZoneStatus>) -> bool {
    status.is_some_and(|status| status.stage == Stage::Evacuated)
}

/// A change of status that is due.
struct Transition {
    /// Stage and step; `None`: the zone returns to full use.
    target: Option<(Stage, u8)>,
    reason: Reason,
}

impl Transition {
    fn evacuate(reason: Reason) -> Self {
        Transition {
            target: Some((Stage::Evacuated, 0)),
            reason,
        }
    }

    fn to_step(step: u8, reason: Reason) -> Self {
        Transition {
            target: Some((Stage::Recovering, step)),
            reason,
        }
    }
}

/// The leader's view of all zones. Its state is soft: a new leader rebuilds it from reports.
#[derive(Debug, Clone)]
pub struct EvacuationController {
    config: Config,
    witnesses: Witnesses,
    zones: BTreeMap<ZoneId, ZoneWatch>,
    last_decision_number: u32,
}

impl EvacuationController {
    /// A controller without members and zones.
    pub fn new(config: Config) -> Self {
        EvacuationController {
            config,
            witnesses: Witnesses::default(),
            zones: BTreeMap::new(),
            last_decision_number: 0,
        }
    }

    /// Replaces the settings; members, reports and quotas stay.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// The settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Drops reports and quotas at the start of a leadership: the quotas of the previous leader have expired when the new
    /// one decides. The cores of the zones stay, since they come from the endpoint list.
    pub fn clear(&mut self) {
        self.witnesses.clear();
        for watch in self.zones.values_mut() {
            *watch = ZoneWatch {
                cores: watch.cores,
                ..ZoneWatch::default()
            };
        }
    }

    /// Replaces the cores of all zones, by the endpoint list.
    pub fn set_capacity(&mut self, cores_by_zone: &[(ZoneId, f64)]) {
        for watch in self.zones.values_mut() {
            watch.cores = 0.0;
        }
        for (zone, cores) in cores_by_zone.iter().take(MAX_ZONES) {
            self.zones.entry(*zone).or_default().cores = *cores;
        }
    }

    /// Replaces the list of members.
    pub fn set_members(&mut self, members: impl Iterator<Item = MemberPresence>) {
        self.witnesses.set_members(members);
    }

    /// Handles a member's report. A report of an unknown member is ignored.
    pub fn handle_report(&mut self, from: MemberId, report: &MemberReport, now_ms: f64) {
        let Some(previous) = self.witnesses.replace_report(from, report, now_ms) else {
            return;
        };
        // The counts of a member that restarted begin at zero: its first report adds nothing.
        if previous.session != report.session {
            return;
        }
        for evidence in &report.zones {
            let earlier = previous
                .zones
                .iter()
                .find(|earlier| earlier.zone == evidence.zone);
            let (Some(earlier), Some(watch)) = (earlier, self.zones.get_mut(&evidence.zone)) else {
                continue;
            };
            let successes = evidence.successes.wrapping_sub(earlier.successes);
            let failures = evidence.failures.wrapping_sub(earlier.failures);
            watch.successes = watch.successes.saturating_add(u32::from(successes));
            watch.failures = watch.failures.saturating_add(u32::from(failures));
        }
    }

    /// The health of a zone by the members' reports.
    pub fn assess(&self, zone: ZoneId, now_ms: f64) -> ZoneHealth {
        self.witnesses.assess(zone, &self.config, now_ms)
    }

    /// Evaluates all zones, given the statuses that a majority `agreed` on; returns decisions for a majority to agree on.
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
        let watch = self.zones.entry(zone).or_default();
        watch.record_health(health, now_ms);
        watch.record_status(status, self.config.flap_window_ms, now_ms);
        let transition = match status {
            None => self.begin_evacuation(zone, health, agreed, now_ms),
            Some(status) => self.continue_evacuation(zone, status, now_ms),
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

    /// Whether an assessment is unchanged for long enough.
    fn is_confirmed(&self, since_ms: Option<f64>, now_ms: f64) -> bool {
        since_ms.is_some_and(|since_ms| now_ms - since_ms >= self.config.confirm_ms)
    }

    fn begin_evacuation(
        &self,
        zone: ZoneId,
        health: ZoneHealth,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        now_ms: f64,
    ) -> Option<Transition> {
        if !self.is_confirmed(self.zones[&zone].lost_since_ms, now_ms) {
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

    fn continue_evacuation(
        &self,
        zone: ZoneId,
        status: ZoneStatus,
        now_ms: f64,
    ) -> Option<Transition> {
        let watch = &self.zones[&zone];
        let status_age_ms = now_ms - watch.status_since_ms;
        match status.stage {
            // An operator's evacuation ends by an operator's command.
            Stage::Evacuated if status.reason == Reason::Operator => None,
            Stage::Evacuated => {
                let may_return = status_age_ms >= self.min_evacuation_ms(watch)
                    && self.is_confirmed(watch.reached_since_ms, now_ms);
                may_return.then(|| Transition::to_step(0, Reason::Reached))
            }
            Stage::Recovering if self.is_confirmed(watch.lost_since_ms, now_ms) => {
                Some(Transition::evacuate(Reason::FailuresIncreased))
            }
            Stage::Recovering => self.next_ramp_step(status.step, watch, status_age_ms),
        }
    }

    /// Minimum time of this evacuation (ms): doubled for each previous one in a row.
    fn min_evacuation_ms(&self, watch: &ZoneWatch) -> f64 {
        let doublings = watch.evacuations.saturating_sub(1).min(MAX_FLAP_DOUBLINGS);
        let doubled_ms = self.config.min_evacuation_ms * f64::from(1_u32 << doublings);
        doubled_ms.min(self.config.max_evacuation_ms)
    }

    /// The next step of a recovery, a step back, or its end.
    fn next_ramp_step(
        &self,
        step: u8,
        watch: &ZoneWatch,
        status_age_ms: f64,
    ) -> Option<Transition> {
        let attempts = watch.successes + watch.failures;
        let failed_fraction = f64::from(watch.failures) / f64::from(attempts.max(1));
        let has_enough_attempts = attempts >= MIN_ATTEMPTS;
        if has_enough_attempts
            && failed_fraction > MAX_FAILURES_TO_STAY
            && status_age_ms >= self.config.ramp_step_ms * MIN_STEP_FRACTION
        {
            // The step is halved; from the first step the zone is evacuated again.
            return Some(match step {
                0 => Transition::evacuate(Reason::FailuresIncreased),
                step => Transition::to_step(step / 2, Reason::FailuresIncreased),
            });
        }
        let may_advance = !has_enough_attempts || failed_fraction <= MAX_FAILURES_TO_ADVANCE;
        if status_age_ms < self.config.ramp_step_ms || !may_advance {
            return None;
        }
        if step >= self.config.ramp_steps {
            return Some(Transition {
                target: None,
                reason: Reason::Restored,
            });
        }
        Some(Transition::to_step(step + 1, Reason::Reached))
    }

    fn next_decision_number(&mut self, now_ms: f64) -> u32 {
        let by_clock = (now_ms / DECISION_NUMBER_MS) as u64 as u32;
        self.last_decision_number = self.last_decision_number.max(by_clock).wrapping_add(1);
        self.last_decision_number
    }

    /// Grants a member its quota of a recovering zone, as a fraction of full use: see [`RampQuotas::request`]. The quota
    /// of a zone that is not recovering is 0.
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
        let watch = self.zones.entry(zone).or_default();
        watch.quotas.request(&request, now_ms)
    }

    /// The sum of the unexpired quotas of a zone.
    pub fn granted_total(&self, zone: ZoneId) -> f64 {
        match self.zones.get(&zone) {
            Some(watch) => watch.quotas.granted_total(),
            None => 0.0,
        }
    }
}
