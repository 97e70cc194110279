//! Types of the controller, the followers and the codec: zones, their agreed status, and evidence.

use std::fmt;
use tansymux_codec::wire_enum;

/// A zone's identifier, derived from its name.
pub type ZoneId = u32;
/// A member's identifier.
pub type MemberId = u64;

/// Limit on the number of zones.
pub const MAX_ZONES: usize = 12;

wire_enum! {
    /// Stage of an evacuation. Its code is part of the fleet's records and messages.
    pub enum Stage {
        /// Members outside the zone send nothing new there.
        Evacuated = 0,
        /// Members outside the zone send what their quota of the ramp step allows.
        Recovering = 1,
    }
}

wire_enum! {
    /// Why a zone's status changed. Its code is part of the fleet's records and messages.
    pub enum Reason {
        /// No member outside reaches the zone, and none inside reports that it does.
        Lost = 0,
        /// No member outside reaches the zone; members inside continue to use it.
        CutOff = 1,
        /// An operator's command.
        Operator = 2,
        /// The zone is reached again.
        Reached = 3,
        /// Failures increased during the recovery, or the zone was lost again.
        FailuresIncreased = 4,
        /// The last step of the recovery ramp succeeded.
        Restored = 5,
    }
}

impl fmt::Display for Reason {
    /// The word that `tansymux fleet zones` prints.
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

/// The status of a zone that the fleet agreed on; a zone without one is in full use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneStatus {
    /// Evacuated or recovering.
    pub stage: Stage,
    /// Step of the recovery ramp, from 0; 0 while evacuated.
    pub step: u8,
    /// Number of the decision: a later one is higher, wrapping around.
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

/// The health of a zone by the reports of all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Too few members have evidence.
    Unknown,
    /// All witnesses reach it.
    Reachable,
    /// Some witnesses do not reach it: their path is cut, and each of them avoids the zone by a local decision.
    PartlyUnreachable,
    /// The witnesses do not reach it, and nobody inside reports that it does.
    Lost,
    /// The witnesses do not reach it, but members inside do.
    CutOff,
}

wire_enum! {
    /// Whether a member reaches a zone. Its code is part of the messages.
    pub enum Reachability {
        /// The member has no recent evidence.
        Unknown = 0,
        /// Engines answer.
        Reachable = 1,
        /// Engines answer again, and the member increases its load step by step.
        Recovering = 2,
        /// Engines do not answer.
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
    /// Whether the member reaches it.
    pub reachability: Reachability,
    /// Threads that the member uses there, or would use.
    pub threads: f32,
    /// Attempts that succeeded since the member started, wrapping around.
    pub successes: u16,
    /// Attempts that failed since the member started, wrapping around.
    pub failures: u16,
}

/// A member's report to the leader.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MemberReport {
    /// The member's session, drawn at each start: its counts begin at zero in each session.
    pub session: u32,
    /// Pairs the reply with this report.
    pub sequence_number: u32,
    /// Whether the member reaches no zone: it is probably cut off itself.
    pub is_isolated: bool,
    /// The member's evidence, about up to [`MAX_ZONES`] zones.
    pub zones: Vec<Evidence>,
}
