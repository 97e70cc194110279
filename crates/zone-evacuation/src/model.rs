//! Types of the controller, the followers and the codec: zones, their agreed status, and evidence.

use std::fmt;
use tansymux_codec::wire_enum;

/// A zone's identifier, derived from its name.
pub type ZoneId = u32;
/// A member's identifier.
pub type MemberId = u64;

/// Maximum number of zones.
pub const MAX_ZONES: usize = 12;

wire_enum! {
    /// Stage of an evacuation. Records and messages of the fleet contain its code.
    pub enum Stage {
        /// Members outside the zone start no new attempts in it.
        Evacuated = 0,
        /// Members outside the zone use it within their quotas of the ramp step.
        Recovering = 1,
    }
}

wire_enum! {
    /// The reason why a zone's status changed. Records and messages of the fleet contain its code.
    pub enum Reason {
        /// The witnesses outside do not reach the zone, and no member inside reports that it reaches the zone.
        Lost = 0,
        /// The witnesses outside do not reach the zone. Members inside reach it and continue to use it.
        CutOff = 1,
        /// An operator's command.
        Operator = 2,
        /// The zone is reachable again, and its recovery starts or advances.
        Reached = 3,
        /// Failures increased during the recovery, or the zone was lost again.
        FailuresIncreased = 4,
        /// The last step of the recovery ramp succeeded.
        Restored = 5,
    }
}

impl fmt::Display for Reason {
    /// Writes the word that `tansymux fleet zones` prints.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Reason::Lost => "Lost",
            Reason::CutOff => "CutOff",
            Reason::Operator => "ByHand",
            Reason::Reached => "Reached",
            Reason::FailuresIncreased => "Worsened",
            Reason::Restored => "Whole",
        })
    }
}

/// The status of a zone that the fleet agreed on. A zone without a status is in full use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneStatus {
    /// Evacuated or recovering.
    pub stage: Stage,
    /// Step of the recovery ramp, from 0; 0 while evacuated.
    pub step: u8,
    /// Number of the decision. Numbers increase and wrap around.
    pub decision_number: u32,
    /// The reason of the decision.
    pub reason: Reason,
}

/// A decision of the controller. It takes effect once a majority has agreed on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The zone.
    pub zone: ZoneId,
    /// The new status; `None`: the zone returns to full use.
    pub status: Option<ZoneStatus>,
    /// The reason of the decision.
    pub reason: Reason,
}

/// The health of a zone according to the reports of all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Too few members have evidence about the zone.
    Unknown,
    /// All witnesses reach the zone.
    Reachable,
    /// Some witnesses do not reach the zone: only their paths are cut. Each of them avoids the zone by a local
    /// decision.
    PartlyUnreachable,
    /// The witnesses do not reach the zone, and no member inside reports that it reaches the zone.
    Lost,
    /// The witnesses do not reach the zone, but members inside do.
    CutOff,
}

wire_enum! {
    /// Whether a member reaches a zone. Messages contain its code.
    pub enum Reachability {
        /// The member has no recent evidence.
        Unknown = 0,
        /// Engines of the zone answer.
        Reachable = 1,
        /// Engines of the zone answer again, and the member increases its load step by step.
        Recovering = 2,
        /// Engines of the zone do not answer.
        Unreachable = 3,
    }
}

impl Reachability {
    /// Whether engines of the zone answer.
    pub(crate) fn is_reached(self) -> bool {
        matches!(self, Reachability::Reachable | Reachability::Recovering)
    }
}

/// A member's observations of a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the member reaches the zone.
    pub reachability: Reachability,
    /// Threads that the member uses in the zone, or would use.
    pub threads: f32,
    /// Attempts that succeeded since the member started, wrapping around.
    pub successes: u16,
    /// Attempts that failed since the member started, wrapping around.
    pub failures: u16,
}

/// A member's report to the leader.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MemberReport {
    /// The member's session, drawn at each start. Attempt counts restart at zero in each session.
    pub session: u32,
    /// Number of this report, which the reply repeats.
    pub sequence_number: u32,
    /// Whether the member reaches no zone, and hence is probably cut off itself.
    pub is_isolated: bool,
    /// The member's evidence for at most [`MAX_ZONES`] zones.
    pub zones: Vec<Evidence>,
}
