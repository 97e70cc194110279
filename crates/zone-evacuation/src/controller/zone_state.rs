//! The controller's state of one zone, and the steps of its evacuation and recovery.

use super::is_evacuated;
use crate::{Config, QuotaRequest, RampQuotas, Reason, Stage, ZoneHealth, ZoneStatus};

/// Maximum fraction of failed attempts in a ramp step for the recovery to advance to the next step.
const MAX_FAILURES_TO_ADVANCE: f64 = 0.1;
/// Maximum fraction of failed attempts in a ramp step. Above it the recovery returns to an earlier step.
const MAX_FAILURES_TO_STAY: f64 = 0.3;
/// Minimum number of attempts in a ramp step before its failures count.
const MIN_ATTEMPTS: u32 = 3;
/// Minimum time in a ramp step before the recovery returns to an earlier step, as a fraction of the step's duration.
const MIN_STEP_FRACTION: f64 = 0.25;
/// Maximum number of doublings of the minimum evacuation time.
const MAX_FLAP_DOUBLINGS: u32 = 20;

/// A due change of a zone's status.
pub(super) struct Transition {
    /// Stage and step; `None`: the zone returns to full use.
    pub(super) target: Option<(Stage, u8)>,
    pub(super) reason: Reason,
}

impl Transition {
    pub(super) fn evacuate(reason: Reason) -> Self {
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

/// The controller's state of one zone.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneState {
    cores: f64,
    /// Time since which every assessment has found the zone lost or cut off (ms).
    lost_since_ms: Option<f64>,
    /// Time since which every assessment has found the zone reachable (ms).
    reached_since_ms: Option<f64>,
    /// The agreed status at the last evaluation.
    status: Option<ZoneStatus>,
    /// Time of the last change of the agreed status (ms).
    status_since_ms: f64,
    /// Successful attempts of all members under this status.
    successes: u32,
    /// Failed attempts of all members under this status.
    failures: u32,
    quotas: RampQuotas,
    /// Start of the last evacuation (ms).
    evacuated_ms: f64,
    /// Number of consecutive evacuations, each within the flap window of the previous one.
    consecutive_evacuations: u32,
}

impl ZoneState {
    /// Creates the state of a zone of which only the number of cores is known.
    pub(super) fn with_cores(cores: f64) -> Self {
        ZoneState {
            cores,
            ..ZoneState::default()
        }
    }

    pub(super) fn cores(&self) -> f64 {
        self.cores
    }

    pub(super) fn set_cores(&mut self, cores: f64) {
        self.cores = cores;
    }

    /// Records an assessment of the zone.
    pub(super) fn record_health(&mut self, health: ZoneHealth, now_ms: f64) {
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

    /// Records the agreed status of the zone.
    pub(super) fn record_status(
        &mut self,
        status: Option<ZoneStatus>,
        flap_window_ms: f64,
        now_ms: f64,
    ) {
        if self.status == status {
            return;
        }
        if is_evacuated(status) && !is_evacuated(self.status) {
            let is_flapping = now_ms - self.evacuated_ms < flap_window_ms;
            self.consecutive_evacuations = if is_flapping {
                self.consecutive_evacuations + 1
            } else {
                1
            };
            self.evacuated_ms = now_ms;
        }
        self.status = status;
        self.status_since_ms = now_ms;
        self.successes = 0;
        self.failures = 0;
    }

    /// Adds a member's attempts to the counts under the current status.
    pub(super) fn record_attempts(&mut self, successes: u16, failures: u16) {
        self.successes = self.successes.saturating_add(u32::from(successes));
        self.failures = self.failures.saturating_add(u32::from(failures));
    }

    /// Whether every assessment within the confirmation time found the zone lost or cut off.
    pub(super) fn is_confirmed_lost(&self, config: &Config, now_ms: f64) -> bool {
        is_confirmed(self.lost_since_ms, config, now_ms)
    }

    /// The due transition of an evacuated or recovering zone, if any.
    pub(super) fn continue_evacuation(
        &self,
        status: ZoneStatus,
        config: &Config,
        now_ms: f64,
    ) -> Option<Transition> {
        let status_age_ms = now_ms - self.status_since_ms;
        match status.stage {
            // An evacuation by an operator lasts until an operator ends it.
            Stage::Evacuated if status.reason == Reason::Operator => None,
            Stage::Evacuated => {
                let may_recover = status_age_ms >= self.min_evacuation_ms(config)
                    && is_confirmed(self.reached_since_ms, config, now_ms);
                may_recover.then(|| Transition::to_step(0, Reason::Reached))
            }
            Stage::Recovering if self.is_confirmed_lost(config, now_ms) => {
                Some(Transition::evacuate(Reason::FailuresIncreased))
            }
            Stage::Recovering => self.next_ramp_step(status.step, config, status_age_ms),
        }
    }

    /// Minimum duration of the current evacuation (ms), doubled for each previous consecutive evacuation.
    fn min_evacuation_ms(&self, config: &Config) -> f64 {
        let doublings = self
            .consecutive_evacuations
            .saturating_sub(1)
            .min(MAX_FLAP_DOUBLINGS);
        let doubled_ms = config.min_evacuation_ms * f64::from(1_u32 << doublings);
        doubled_ms.min(config.max_evacuation_ms)
    }

    /// The due transition of a recovery, if any: to the next step, to an earlier step, to full use, or back to
    /// evacuated.
    fn next_ramp_step(&self, step: u8, config: &Config, status_age_ms: f64) -> Option<Transition> {
        let attempts = self.successes + self.failures;
        let failed_fraction = f64::from(self.failures) / f64::from(attempts.max(1));
        let has_enough_attempts = attempts >= MIN_ATTEMPTS;
        if has_enough_attempts
            && failed_fraction > MAX_FAILURES_TO_STAY
            && status_age_ms >= config.ramp_step_ms * MIN_STEP_FRACTION
        {
            // The step number is halved. At step 0 the zone is evacuated again.
            return Some(match step {
                0 => Transition::evacuate(Reason::FailuresIncreased),
                step => Transition::to_step(step / 2, Reason::FailuresIncreased),
            });
        }
        let may_advance = !has_enough_attempts || failed_fraction <= MAX_FAILURES_TO_ADVANCE;
        if status_age_ms < config.ramp_step_ms || !may_advance {
            return None;
        }
        if step >= config.ramp_steps {
            return Some(Transition {
                target: None,
                reason: Reason::Restored,
            });
        }
        Some(Transition::to_step(step + 1, Reason::Reached))
    }

    /// Grants a member its quota, see [`RampQuotas::request`].
    pub(super) fn request_quota(&mut self, request: &QuotaRequest, now_ms: f64) -> f64 {
        self.quotas.request(request, now_ms)
    }

    /// The sum of the quotas, see [`RampQuotas::granted_total`].
    pub(super) fn granted_total(&self) -> f64 {
        self.quotas.granted_total()
    }
}

/// Whether an assessment has been unchanged for the confirmation time.
fn is_confirmed(since_ms: Option<f64>, config: &Config, now_ms: f64) -> bool {
    since_ms.is_some_and(|since_ms| now_ms - since_ms >= config.confirm_ms)
}
