//! Progress of a release: analysis of the canaries, halts, and the stage that follows.

use super::commands::halt;
use super::{
    active_halt, active_release, propose, release_proposal, AnalysedRelease, Direction,
    RolloutController,
};
use crate::canary_analysis::AnalysisResult;
use crate::rollout_plan::{Participant, Release};
use tansymux_coordination::disruption_budget::HaltReason;
use tansymux_coordination::{QuorumNode, ReleaseStage, UnitKind, RELEASE_KEY};

impl RolloutController {
    /// Analyses the release, halts it where that is called for, and moves it to its next stage.
    pub(super) fn evaluate_release(&mut self, node: &mut QuorumNode, now_ms: f64) {
        let Some(release) = active_release(node) else {
            return;
        };
        if release.stage.is_final() || active_halt(node).is_some() {
            return;
        }
        let lost = self.lost_count(node);
        let participants = self.participants(node);
        self.begin_analysis_if_new(&release, lost);
        let window = self.analysis_window(now_ms);
        let result = self.analysis.evaluate(&self.config.plan.analysis, window);
        self.analysis_result = Some(result);
        if let Some(reason) = self.halt_reason(node, result, lost) {
            halt(node, reason, halt_number(now_ms, release.number), now_ms);
            return;
        }
        let canaries_observed = self.canaries_observed(&release, &participants, now_ms);
        if self.is_inconclusive(&release, &participants, result, canaries_observed) {
            let number = halt_number(now_ms, release.number);
            halt(node, HaltReason::Inconclusive, number, now_ms);
            return;
        }
        self.update_wave(&release, &participants, now_ms);
        let stage = self
            .config
            .plan
            .next_stage(&release, &participants, canaries_observed);
        let versions_are_known = self.versions_are_known(node, &participants);
        if stage != release.stage && versions_are_known && node.is_chosen(RELEASE_KEY) {
            propose(
                node,
                &[release_proposal(Release { stage, ..release })],
                now_ms,
            );
        }
    }

    fn begin_analysis_if_new(&mut self, release: &Release, lost: usize) {
        let direction = if release.stage == ReleaseStage::RollingBack {
            Direction::Back
        } else {
            Direction::Forward
        };
        let is_same = self.analysed_release.is_some_and(|analysed| {
            analysed.number == release.number && analysed.direction == direction
        });
        if !is_same {
            self.analysed_release = Some(AnalysedRelease {
                number: release.number,
                direction,
                lost_at_start: lost,
            });
            self.reset_analysis();
        }
    }

    /// Why the release has to halt now.
    fn halt_reason(
        &self,
        node: &QuorumNode,
        result: AnalysisResult,
        lost: usize,
    ) -> Option<HaltReason> {
        let analysed = self.analysed_release;
        let lost_at_start = analysed.map_or(0, |analysed| analysed.lost_at_start);
        if matches!(result, AnalysisResult::Worse { .. }) {
            return Some(HaltReason::CanaryWorse);
        }
        if lost > lost_at_start + self.config.plan.max_lost_members {
            return Some(HaltReason::MembersLost);
        }
        let total = self.units(node, UnitKind::Dispatcher).len();
        let limit = self.config.dispatchers.fleet.resolve(total);
        let is_exhausted = limit.is_some_and(|limit| lost >= limit && lost > lost_at_start);
        is_exhausted.then_some(HaltReason::BudgetExhausted)
    }

    /// Whether all canaries restarted and were observed for long enough.
    fn canaries_observed(
        &mut self,
        release: &Release,
        participants: &[Participant],
        now_ms: f64,
    ) -> bool {
        if release.stage == ReleaseStage::Canaries {
            let restarted = self.config.plan.canaries_restarted(release, participants);
            self.canaries_since_ms = if restarted {
                self.canaries_since_ms.or(Some(now_ms))
            } else {
                None
            };
        }
        let observation_ms = self.config.plan.canary_observation_ms;
        self.canaries_since_ms
            .is_some_and(|since_ms| now_ms - since_ms >= observation_ms)
    }

    /// Whether the canaries had too little traffic, and the release may not go on without a comparison.
    fn is_inconclusive(
        &self,
        release: &Release,
        participants: &[Participant],
        result: AnalysisResult,
        canaries_observed: bool,
    ) -> bool {
        let is_inconclusive = matches!(result, AnalysisResult::Inconclusive { .. });
        let any_left = participants
            .iter()
            .any(|participant| release.has_to_restart(participant));
        release.stage == ReleaseStage::Canaries
            && canaries_observed
            && is_inconclusive
            && !self.config.plan.continue_if_inconclusive
            && any_left
    }

    /// Begins the pause when a zone is done.
    fn update_wave(&mut self, release: &Release, participants: &[Participant], now_ms: f64) {
        let zone = self.config.plan.current_zone(release, participants);
        if release.stage != ReleaseStage::Waves || zone == self.current_zone {
            return;
        }
        if self.current_zone.is_some() {
            self.paused_until_ms = now_ms + self.config.plan.zone_pause_ms;
        }
        self.current_zone = zone;
    }

    /// Whether the versions of all present dispatchers are known. No dispatcher at all is no sign that all restarted,
    /// and one that has not reported its version may have to.
    fn versions_are_known(&self, node: &QuorumNode, participants: &[Participant]) -> bool {
        let units = self.units(node, UnitKind::Dispatcher);
        let all_known = units
            .iter()
            .all(|unit| unit.version != 0 || !unit.available);
        !participants.is_empty() && all_known
    }
}

/// A number for a halt that no other one has.
fn halt_number(now_ms: f64, release_number: u32) -> u32 {
    ((now_ms as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as u32 ^ release_number | 1
}
