//! The order of the restarts in a rolling release: canaries, then one wave per zone.

use crate::canary_analysis::AnalysisConfig;
use tansymux_coordination::{Id, ReleaseStage};

/// Configuration of the canaries, waves and analysis of a release.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RolloutPlan {
    /// Number of canaries.
    pub canary_count: usize,
    /// Time for which the canaries are observed (ms).
    pub canary_observation_ms: f64,
    /// Whether a release continues if the canaries had too little traffic for a comparison.
    pub continue_if_inconclusive: bool,
    /// Zones in the order of their waves. Zones that are not listed follow in ascending order of their numbers.
    pub zone_order: Vec<u32>,
    /// Pause after the wave of a zone (ms).
    pub zone_pause_ms: f64,
    /// Maximum number of members lost since the start of a release; the release halts if more are lost.
    pub max_lost_members: usize,
    /// Comparison of the released dispatchers with the others.
    pub analysis: AnalysisConfig,
}

/// A dispatcher that takes part in a release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Participant {
    /// The dispatcher.
    pub id: Id,
    /// The dispatcher's zone.
    pub zone: u32,
    /// The dispatcher's version.
    pub version: u32,
    /// Whether the dispatcher is present.
    pub available: bool,
}

/// A release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Release {
    /// The release's number.
    pub number: u32,
    /// The new version.
    pub to: u32,
    /// The previous version; 0: any version, and the release cannot be rolled back.
    pub from: u32,
    /// The current stage.
    pub stage: ReleaseStage,
}

impl Release {
    /// The version that dispatchers have after their restart: the new version, or in a rollback the previous version.
    pub fn target_version(&self) -> u32 {
        if self.stage == ReleaseStage::RollingBack {
            self.from
        } else {
            self.to
        }
    }

    /// Whether a dispatcher still has to restart, forward or back.
    pub fn has_to_restart(&self, participant: &Participant) -> bool {
        match self.stage {
            ReleaseStage::RollingBack => participant.version == self.to,
            ReleaseStage::Canaries | ReleaseStage::Waves => {
                participant.version != self.to
                    && (self.from == 0 || participant.version == self.from)
            }
            ReleaseStage::Completed | ReleaseStage::RolledBack => false,
        }
    }

    /// Whether a dispatcher is part of the release, restarted or not.
    fn includes(&self, participant: &Participant) -> bool {
        participant.version == self.to || self.from == 0 || participant.version == self.from
    }
}

/// The reason why a dispatcher may not restart for a release now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RestartRejected {
    /// No release has that target version, or the dispatcher has not reported its version.
    #[error("no release has that target version")]
    NoSuchRelease,
    /// The dispatcher already has that version.
    #[error("the dispatcher already has that version")]
    AlreadyRestarted,
    /// Canaries or another zone have to restart first.
    #[error("canaries or another zone have to restart first")]
    OthersFirst,
    /// The release pauses after a zone.
    #[error("the release pauses after a zone")]
    PausedAfterZone,
}

/// A request to restart a dispatcher with another version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestartRequest {
    /// The dispatcher.
    pub id: Id,
    /// The version after the restart.
    pub to: u32,
}

/// Rank of a dispatcher in the selection of canaries: a pseudo-random value derived from the dispatcher's id and the
/// number of the release, and hence the same at every leader.
fn canary_rank(id: Id, release_number: u32) -> u64 {
    (id ^ u64::from(release_number))
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .rotate_left(31)
        .wrapping_mul(0xBF58_476D_1CE4_E5B9)
}

impl RolloutPlan {
    /// The first stage of a release.
    pub fn first_stage(&self) -> ReleaseStage {
        if self.canary_count > 0 {
            ReleaseStage::Canaries
        } else {
            ReleaseStage::Waves
        }
    }

    /// Selects the canaries. Participants that already have the new version are included, so that the selection stays
    /// the same when canaries restart.
    pub fn canaries(&self, release: &Release, participants: &[Participant]) -> Vec<Id> {
        let mut ranked: Vec<(u64, Id)> = participants
            .iter()
            .filter(|participant| release.includes(participant))
            .map(|participant| (canary_rank(participant.id, release.number), participant.id))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(self.canary_count);
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// Position of a zone in the order of waves.
    fn zone_rank(&self, zone: u32) -> (usize, u32) {
        let position = self
            .zone_order
            .iter()
            .position(|configured| *configured == zone)
            .unwrap_or(self.zone_order.len());
        (position, zone)
    }

    /// The zone of the current wave: the first zone with a dispatcher that has to restart, or in a rollback the last
    /// such zone.
    pub fn current_zone(&self, release: &Release, participants: &[Participant]) -> Option<u32> {
        let zones = participants
            .iter()
            .filter(|participant| release.has_to_restart(participant))
            .map(|participant| participant.zone);
        match release.stage {
            ReleaseStage::RollingBack => zones.max_by_key(|zone| self.zone_rank(*zone)),
            _ => zones.min_by_key(|zone| self.zone_rank(*zone)),
        }
    }

    /// Checks whether the order of the release allows a dispatcher to restart now. `is_paused`: whether the release
    /// pauses after a zone.
    ///
    /// # Errors
    /// A [`RestartRejected`] if the dispatcher may not restart now.
    pub fn admit(
        &self,
        release: Option<&Release>,
        participants: &[Participant],
        request: RestartRequest,
        is_paused: bool,
    ) -> Result<(), RestartRejected> {
        let release = release
            .filter(|release| release.target_version() == request.to)
            .ok_or(RestartRejected::NoSuchRelease)?;
        let participant = participants
            .iter()
            .find(|participant| participant.id == request.id)
            .ok_or(RestartRejected::NoSuchRelease)?;
        if !release.has_to_restart(participant) {
            return Err(RestartRejected::AlreadyRestarted);
        }
        if release.stage == ReleaseStage::Canaries {
            let is_canary = self.canaries(release, participants).contains(&request.id);
            return if is_canary {
                Ok(())
            } else {
                Err(RestartRejected::OthersFirst)
            };
        }
        if self.current_zone(release, participants) != Some(participant.zone) {
            return Err(RestartRejected::OthersFirst);
        }
        // A rollback does not pause: only the disruption budget slows it down.
        if release.stage == ReleaseStage::Waves && is_paused {
            return Err(RestartRejected::PausedAfterZone);
        }
        Ok(())
    }

    /// Returns the next stage if it is due, else the current stage. `canaries_observed`: whether the canaries were
    /// observed for [`RolloutPlan::canary_observation_ms`].
    pub fn next_stage(
        &self,
        release: &Release,
        participants: &[Participant],
        canaries_observed: bool,
    ) -> ReleaseStage {
        let any_remaining = participants
            .iter()
            .any(|participant| release.has_to_restart(participant));
        match release.stage {
            ReleaseStage::RollingBack if !any_remaining => ReleaseStage::RolledBack,
            ReleaseStage::Canaries | ReleaseStage::Waves if !any_remaining => {
                ReleaseStage::Completed
            }
            ReleaseStage::Canaries if canaries_observed || self.canary_count == 0 => {
                ReleaseStage::Waves
            }
            stage => stage,
        }
    }

    /// Whether all canaries restarted and are available.
    pub fn canaries_restarted(&self, release: &Release, participants: &[Participant]) -> bool {
        let canaries = self.canaries(release, participants);
        let restarted = |id: &Id| {
            participants.iter().any(|participant| {
                participant.id == *id && participant.available && participant.version == release.to
            })
        };
        !canaries.is_empty() && canaries.iter().all(restarted)
    }
}
