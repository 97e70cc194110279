//! Input and output of the detector: engines, observations, zone states and their changes.

use std::fmt;

/// An engine in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Identifier of the engine.
    pub engine_id: u64,
    /// Name of the engine's zone.
    pub zone: String,
    /// Number of cores of the engine.
    pub cores: f64,
    /// Whether the list reports the engine as ready.
    pub is_ready: bool,
}

/// The result of an attempt or a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservationKind {
    /// The engine answered with a result, an error, a rejection, a progress note or a health check response.
    Answered,
    /// The connection could not be established or was reset, or the engine did not answer within the timeout.
    NoAnswer,
}

/// An observation of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Identifier of the engine.
    pub engine_id: u64,
    /// Whether the engine answered.
    pub kind: ObservationKind,
}

/// How far this dispatcher may use a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ZoneState {
    /// The zone may be used fully.
    Healthy,
    /// The zone's engines do not answer, so no work is sent there.
    Unreachable,
    /// The zone answers again. The value is the fraction of its full use that is allowed, from 0 to 1.
    Recovering(f64),
}

impl ZoneState {
    pub(crate) fn is_recovering(self) -> bool {
        matches!(self, ZoneState::Recovering(_))
    }
}

/// The reason for a history entry: a change of a zone's state, or an event that does not change it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Most of the zone's engines fail, and none has answered for [`crate::UnreachabilityThresholds::silent_ms`].
    Lost,
    /// As [`Reason::Lost`], but peers reach the zone, so the network path from this dispatcher to the zone has failed.
    LostFromHere,
    /// An engine of the unreachable zone answered.
    Answered,
    /// No engine of the unreachable zone was observed for 12 s (`UNTRIED_MS`), so a recovery begins to obtain evidence.
    Untried,
    /// The recovery ramp was completed.
    Recovered,
    /// The zone failed during its recovery.
    FailedAgain,
    /// All zones fail, so this dispatcher considers itself isolated.
    Isolated,
    /// This dispatcher is no longer isolated.
    NotIsolated,
    /// An endpoint list dropped a large part of the zone's ready engines although they were answering.
    ListDropsEngines,
}

impl fmt::Display for Reason {
    /// Writes the name of the reason on the dispatcher's status page.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Reason::Lost => "Lost",
            Reason::LostFromHere => "LostFromHere",
            Reason::Answered => "Heard",
            Reason::Untried => "Untried",
            Reason::Recovered => "Climbed",
            Reason::FailedAgain => "FailsAgain",
            Reason::Isolated => "Alone",
            Reason::NotIsolated => "NotAlone",
            Reason::ListDropsEngines => "ListDrops",
        })
    }
}

/// An entry of the history: a change of a zone's state, or an event that does not change it.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneChange {
    /// Time of the change or event (ms).
    pub at_ms: f64,
    /// Name of the zone.
    pub zone: String,
    /// The zone's state after the change or event.
    pub state: ZoneState,
    /// The reason.
    pub reason: Reason,
}

/// Reachability of a zone from a dispatcher, as reported to peers and to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// An engine of the zone answered recently.
    Reachable,
    /// The zone is recovering.
    Recovering,
    /// The zone is unreachable from the dispatcher.
    Unreachable,
    /// There is no recent evidence.
    Unknown,
}

/// This dispatcher's evidence on a zone, as reported to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneEvidence<'a> {
    /// Name of the zone.
    pub zone: &'a str,
    /// Reachability of the zone.
    pub reachability: Reachability,
    /// Number of answers since the zone was first listed; wraps around.
    pub successes: u16,
    /// Number of missing answers since the zone was first listed; wraps around.
    pub failures: u16,
}
