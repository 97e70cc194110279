//! Whose turn it is in a release, and when it goes on.

use crate::compare;
use tansymux_coordination::{Id, Stage};

/// What the operators' file says of releases.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// How many go first, and how long they are looked at (ms).
    pub canaries: usize,
    pub canary: f64,
    /// Where the first ones are too few to tell, it goes on all the same.
    pub goes_on_untold: bool,
    /// Zones in their order; the others follow by number.
    pub zones: Vec<u32>,
    /// Rest after a zone (ms).
    pub pause: f64,
    /// So many more members lost than at its start halt a release.
    pub lost: usize,
    pub compare: compare::Terms,
}

/// A dispatcher as a release sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    pub id: Id,
    pub zone: u32,
    pub version: u32,
    pub there: bool,
}

/// A release under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Release {
    pub number: u32,
    pub to: u32,
    /// 0: all that are not at `to`; their way back is none then.
    pub from: u32,
    pub stage: Stage,
}

/// Why a turn is not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotYet {
    /// No release goes there.
    NoSuchRelease,
    /// It is there already.
    Already,
    /// Others are first: the first few, or another zone.
    Others,
    /// The pause after a zone.
    Pause,
}

/// The order in which the first few are drawn: by number of the release, the same for all who look.
fn lot(id: Id, number: u32) -> u64 {
    (id ^ u64::from(number))
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .rotate_left(31)
        .wrapping_mul(0xBF58_476D_1CE4_E5B9)
}

impl Plan {
    /// Who go first: of all that take part, in any version, so that those that went still count.
    pub fn canaries(&self, release: &Release, seen: &[Seen]) -> Vec<Id> {
        let takes_part = |seen: &&Seen| {
            seen.version == release.to || release.from == 0 || seen.version == release.from
        };
        let mut drawn: Vec<(u64, Id)> = seen
            .iter()
            .filter(takes_part)
            .map(|seen| (lot(seen.id, release.number), seen.id))
            .collect();
        drawn.sort_unstable();
        drawn.truncate(self.canaries);
        drawn.into_iter().map(|(_, id)| id).collect()
    }

    /// Where a zone stands in the order.
    fn rank(&self, zone: u32) -> (usize, u32) {
        (
            self.zones
                .iter()
                .position(|h| *h == zone)
                .unwrap_or(self.zones.len()),
            zone,
        )
    }

    /// Whether a dispatcher has still to go, forward or back.
    pub fn has_to_go(release: &Release, seen: &Seen) -> bool {
        match release.stage {
            Stage::Back => seen.version == release.to,
            Stage::Canaries | Stage::Waves => {
                seen.version != release.to && (release.from == 0 || seen.version == release.from)
            }
            Stage::Done | Stage::Undone => false,
        }
    }

    /// The zone whose wave it is: the first in the order in which one has still to go, the last on the way back.
    pub fn zone(&self, release: &Release, seen: &[Seen]) -> Option<u32> {
        let zones = seen
            .iter()
            .filter(|seen| Plan::has_to_go(release, seen))
            .map(|seen| seen.zone);
        match release.stage {
            Stage::Back => zones.max_by_key(|zone| self.rank(*zone)),
            _ => zones.min_by_key(|zone| self.rank(*zone)),
        }
    }

    /// The version that one that has a turn goes to.
    pub fn target(release: &Release) -> u32 {
        if release.stage == Stage::Back {
            release.from
        } else {
            release.to
        }
    }

    /// Whether a dispatcher that wants to go to a version may, as far as the order goes. `pauses`: the pause after a
    /// zone is not over.
    pub fn admits(
        &self,
        release: Option<&Release>,
        seen: &[Seen],
        id: Id,
        to: u32,
        pauses: bool,
    ) -> Result<(), NotYet> {
        let release = release
            .filter(|release| Plan::target(release) == to)
            .ok_or(NotYet::NoSuchRelease)?;
        let own = seen
            .iter()
            .find(|seen| seen.id == id)
            .ok_or(NotYet::NoSuchRelease)?;
        if !Plan::has_to_go(release, own) {
            return Err(NotYet::Already);
        }
        match release.stage {
            Stage::Canaries if self.canaries(release, seen).contains(&id) => Ok(()),
            Stage::Canaries => Err(NotYet::Others),
            _ if self.zone(release, seen) != Some(own.zone) => Err(NotYet::Others),
            // On the way back nobody waits for longer than the limits say.
            Stage::Waves if pauses => Err(NotYet::Pause),
            _ => Ok(()),
        }
    }

    /// The stage that follows from who is where; `told`: the first few were looked at for long enough.
    pub fn next(&self, release: &Release, seen: &[Seen], told: bool) -> Stage {
        let left = seen.iter().any(|seen| Plan::has_to_go(release, seen));
        match release.stage {
            Stage::Back if !left => Stage::Undone,
            Stage::Canaries | Stage::Waves if !left => Stage::Done,
            Stage::Canaries if told || self.canaries == 0 => Stage::Waves,
            stage => stage,
        }
    }

    /// Whether all of the first few went, and are there.
    pub fn canaries_went(&self, release: &Release, seen: &[Seen]) -> bool {
        let canaries = self.canaries(release, seen);
        let went = |id: &Id| {
            seen.iter()
                .any(|seen| seen.id == *id && seen.there && seen.version == release.to)
        };
        !canaries.is_empty() && canaries.iter().all(went)
    }
}
