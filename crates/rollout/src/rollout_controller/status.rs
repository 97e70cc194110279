//! The status of the fleet for operators.

use super::fleet_state::FleetState;
use super::release_progress::ReleaseProgress;
use crate::message::Status;
use crate::quorum_records::{active_halt, active_release};
use crate::rollout_plan::{Participant, Release};
use tansymux_coordination::{QuorumNode, UnitKind};

/// The status of the fleet as its leader knows it.
pub(super) fn fleet_status(
    node: &QuorumNode,
    fleet: &FleetState,
    progress: &ReleaseProgress,
) -> Status {
    let dispatchers = fleet.count_units(node, UnitKind::Dispatcher);
    let engines = fleet.count_units(node, UnitKind::Engine);
    let release = active_release(node);
    let participants = fleet.participants(node);
    let analysis = progress.analysis_summary();
    Status {
        leader: node.id(),
        members: dispatchers.total as u32,
        unavailable: dispatchers.unavailable as u32,
        lost: fleet.lost_count(node) as u32,
        engines: engines.total as u32,
        engines_unavailable: engines.unavailable as u32,
        halt: active_halt(node).map(|halt| (halt.reason, halt.number)),
        release,
        released: release.map_or(0, |release| released_count(&release, &participants)),
        remaining: release.map_or(0, |release| remaining_count(&release, &participants)),
        pairs: analysis.pairs as u32,
        mean_difference: analysis.mean_difference as f32,
    }
}

/// Number of participants that have the target version.
fn released_count(release: &Release, participants: &[Participant]) -> u32 {
    let target_version = release.target_version();
    let released = participants
        .iter()
        .filter(|participant| participant.version == target_version);
    released.count() as u32
}

/// Number of participants that still have to restart.
fn remaining_count(release: &Release, participants: &[Participant]) -> u32 {
    let remaining = participants
        .iter()
        .filter(|participant| release.has_to_restart(participant));
    remaining.count() as u32
}
