//! Progress of the release: analysis of the canaries, halts, waves and the next stage.

use super::fleet_state::FleetState;
use crate::canary_analysis::{AnalysisResult, CanaryAnalysis, Group, RequestCount};
use crate::message::Report;
use crate::quorum_records::{active_halt, active_release, propose, release_proposal, write_halt};
use crate::rollout_config::RolloutConfig;
use crate::rollout_plan::{Participant, Release, RolloutPlan};
use tansymux_coordination::disruption_budget::HaltReason;
use tansymux_coordination::{QuorumNode, ReleaseStage, UnitKind, RELEASE_KEY};

/// Direction of a release: to the new version, or back to the previous version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

/// The release that the analysis belongs to.
#[derive(Debug, Clone, Copy)]
struct AnalysedRelease {
    number: u32,
    direction: Direction,
    /// Number of members that were lost when the analysis began.
    lost_at_start: usize,
}

/// Pairs and mean difference of the last analysis.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct AnalysisSummary {
    pub(super) pairs: usize,
    pub(super) mean_difference: f64,
}

/// Input of one evaluation of the release.
struct Evaluation<'a> {
    release: Release,
    participants: &'a [Participant],
    result: AnalysisResult,
    /// Number of lost dispatchers.
    lost: usize,
}

/// The leader's soft state about the release in progress.
#[derive(Debug, Clone)]
pub(super) struct ReleaseProgress {
    analysis: CanaryAnalysis,
    result: Option<AnalysisResult>,
    analysed: Option<AnalysedRelease>,
    /// Time at which all canaries had restarted (ms).
    canaries_since_ms: Option<f64>,
    /// The zone of the current wave.
    current_zone: Option<u32>,
    paused_until_ms: f64,
}

impl Default for ReleaseProgress {
    fn default() -> Self {
        ReleaseProgress {
            analysis: CanaryAnalysis::default(),
            result: None,
            analysed: None,
            canaries_since_ms: None,
            current_zone: None,
            paused_until_ms: f64::NEG_INFINITY,
        }
    }
}

impl ReleaseProgress {
    /// Whether the release pauses after a zone.
    pub(super) fn is_paused(&self, now_ms: f64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Restarts the analysis after a halt was resumed. Members lost by then count as lost at the start of the analysis.
    pub(super) fn on_resume(&mut self) {
        self.analysed = None;
    }

    /// Pairs and mean difference of the last analysis.
    pub(super) fn analysis_summary(&self) -> AnalysisSummary {
        match self.result {
            None => AnalysisSummary::default(),
            Some(AnalysisResult::Inconclusive { pairs }) => AnalysisSummary {
                pairs,
                mean_difference: 0.0,
            },
            Some(
                AnalysisResult::NotWorse {
                    pairs,
                    mean_difference,
                }
                | AnalysisResult::Worse {
                    pairs,
                    mean_difference,
                },
            ) => AnalysisSummary {
                pairs,
                mean_difference,
            },
        }
    }

    /// Adds the requests between two reports of one session to the analysis. Reports contain cumulative totals, so a
    /// lost report loses no requests.
    pub(super) fn count_requests(
        &mut self,
        node: &QuorumNode,
        plan: &RolloutPlan,
        previous: &Report,
        report: &Report,
        now_ms: f64,
    ) {
        let is_same_session = previous.session == report.session && previous.total <= report.total;
        let Some(release) = active_release(node).filter(|_| is_same_session) else {
            return;
        };
        let group = if report.version == release.target_version() {
            Group::Released
        } else {
            Group::Baseline
        };
        let requests = RequestCount {
            succeeded: report.succeeded.wrapping_sub(previous.succeeded),
            total: report.total - previous.total,
        };
        let window = analysis_window(plan, now_ms);
        self.analysis.report(window, report.zone, group, requests);
    }

    /// Analyses the release, halts it if necessary, and moves it to its next stage when that is due.
    pub(super) fn evaluate(
        &mut self,
        node: &mut QuorumNode,
        fleet: &FleetState,
        config: &RolloutConfig,
        now_ms: f64,
    ) {
        let Some(release) = active_release(node) else {
            return;
        };
        if release.stage.is_final() || active_halt(node).is_some() {
            return;
        }
        let lost = fleet.lost_count(node);
        let participants = fleet.participants(node);
        self.begin_analysis_if_new(&release, lost);
        let evaluation = Evaluation {
            release,
            participants: &participants,
            result: self.analyse(&config.plan, now_ms),
            lost,
        };
        if let Some(reason) = self.halt_reason(node, fleet, config, &evaluation) {
            halt_release(node, &release, reason, now_ms);
            return;
        }
        let canaries_observed = self.canaries_observed(&config.plan, &evaluation, now_ms);
        if is_inconclusive(&config.plan, &evaluation, canaries_observed) {
            halt_release(node, &release, HaltReason::Inconclusive, now_ms);
            return;
        }
        self.update_wave(&config.plan, &evaluation, now_ms);
        let stage = config
            .plan
            .next_stage(&release, &participants, canaries_observed);
        let versions_are_known = versions_are_known(node, fleet, &participants);
        if stage != release.stage && versions_are_known && node.is_chosen(RELEASE_KEY) {
            let next = release_proposal(Release { stage, ..release });
            propose(node, &[next], now_ms);
        }
    }

    fn analyse(&mut self, plan: &RolloutPlan, now_ms: f64) -> AnalysisResult {
        let window = analysis_window(plan, now_ms);
        let result = self.analysis.evaluate(&plan.analysis, window);
        self.result = Some(result);
        result
    }

    fn begin_analysis_if_new(&mut self, release: &Release, lost: usize) {
        let direction = if release.stage == ReleaseStage::RollingBack {
            Direction::Back
        } else {
            Direction::Forward
        };
        let is_same = self.analysed.is_some_and(|analysed| {
            analysed.number == release.number && analysed.direction == direction
        });
        if !is_same {
            // The pause after a zone continues: it belongs to the wave, not to the analysis.
            *self = ReleaseProgress {
                analysed: Some(AnalysedRelease {
                    number: release.number,
                    direction,
                    lost_at_start: lost,
                }),
                paused_until_ms: self.paused_until_ms,
                ..ReleaseProgress::default()
            };
        }
    }

    /// The reason to halt the release now, if there is one.
    fn halt_reason(
        &self,
        node: &QuorumNode,
        fleet: &FleetState,
        config: &RolloutConfig,
        evaluation: &Evaluation,
    ) -> Option<HaltReason> {
        let lost = evaluation.lost;
        let lost_at_start = self.analysed.map_or(0, |analysed| analysed.lost_at_start);
        if matches!(evaluation.result, AnalysisResult::Worse { .. }) {
            return Some(HaltReason::CanaryWorse);
        }
        if lost > lost_at_start + config.plan.max_lost_members {
            return Some(HaltReason::MembersLost);
        }
        let total = fleet.units(node, UnitKind::Dispatcher).len();
        let limit = config.dispatchers.fleet.resolve(total);
        let is_budget_exhausted = limit.is_some_and(|limit| lost >= limit && lost > lost_at_start);
        is_budget_exhausted.then_some(HaltReason::BudgetExhausted)
    }

    /// Whether all canaries restarted and were observed for [`RolloutPlan::canary_observation_ms`].
    fn canaries_observed(
        &mut self,
        plan: &RolloutPlan,
        evaluation: &Evaluation,
        now_ms: f64,
    ) -> bool {
        let release = &evaluation.release;
        if release.stage == ReleaseStage::Canaries {
            let restarted = plan.canaries_restarted(release, evaluation.participants);
            self.canaries_since_ms = if restarted {
                self.canaries_since_ms.or(Some(now_ms))
            } else {
                None
            };
        }
        self.canaries_since_ms
            .is_some_and(|since_ms| now_ms - since_ms >= plan.canary_observation_ms)
    }

    /// Updates the zone of the current wave, and starts the pause when a zone is completed.
    fn update_wave(&mut self, plan: &RolloutPlan, evaluation: &Evaluation, now_ms: f64) {
        let release = &evaluation.release;
        let zone = plan.current_zone(release, evaluation.participants);
        if release.stage != ReleaseStage::Waves || zone == self.current_zone {
            return;
        }
        if self.current_zone.is_some() {
            self.paused_until_ms = now_ms + plan.zone_pause_ms;
        }
        self.current_zone = zone;
    }
}

/// Number of the analysis window that contains a time.
fn analysis_window(plan: &RolloutPlan, now_ms: f64) -> u64 {
    (now_ms / plan.analysis.window_ms) as u64
}

/// Whether the canaries had too little traffic for a comparison, and the release may not continue without it.
fn is_inconclusive(plan: &RolloutPlan, evaluation: &Evaluation, canaries_observed: bool) -> bool {
    let release = &evaluation.release;
    let is_inconclusive = matches!(evaluation.result, AnalysisResult::Inconclusive { .. });
    let any_remaining = evaluation
        .participants
        .iter()
        .any(|participant| release.has_to_restart(participant));
    release.stage == ReleaseStage::Canaries
        && canaries_observed
        && is_inconclusive
        && !plan.continue_if_inconclusive
        && any_remaining
}

/// Whether the versions of all present dispatchers are known, and there are participants. A fleet without participants
/// does not count as restarted, and a dispatcher that has not reported its version may still have to restart.
fn versions_are_known(node: &QuorumNode, fleet: &FleetState, participants: &[Participant]) -> bool {
    let units = fleet.units(node, UnitKind::Dispatcher);
    let all_known = units
        .iter()
        .all(|unit| unit.version != 0 || !unit.available);
    !participants.is_empty() && all_known
}

/// Halts all disruptions because of a release.
fn halt_release(node: &mut QuorumNode, release: &Release, reason: HaltReason, now_ms: f64) {
    let number = halt_number(now_ms, release.number);
    write_halt(node, reason, number, now_ms);
}

/// Returns a number for a halt, derived from the time and the release, and never 0.
fn halt_number(now_ms: f64, release_number: u32) -> u32 {
    /// 2^64 divided by the golden ratio, as in Fibonacci hashing.
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    ((now_ms as u64).wrapping_mul(MULTIPLIER) >> 32) as u32 ^ release_number | 1
}
