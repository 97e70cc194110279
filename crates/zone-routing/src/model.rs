//! Input and output of the detector: engines, observations, states of zones and their changes.

use std::fmt;

/// An engine of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Id of the engine.
    pub engine_id: u64,
    /// Name of the engine's zone.
    pub zone: String,
    /// Cores of the engine.
    pub cores: f64,
    /// Whether the engine is ready by the list.
    pub ready: bool,
}

/// The result of an attempt or a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservationKind {
    /// The engine answered: with a result, an error, a rejection, a progress note or the answer of a health check.
    Answered,
    /// No connection, a reset, or no answer until the timeout.
    NoAnswer,
}

/// Evidence on an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// The engine.
    pub engine_id: u64,
    /// Whether it answered.
    pub kind: ObservationKind,
}

/// Whether this dispatcher can use a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ZoneState {
    /// In full use.
    Healthy,
    /// The zone's engines do not answer, so no work is sent there.
    Unreachable,
    /// The zone answers again; this fraction of its full use is allowed.
    Recovering(f64),
}

impl ZoneState {
    pub(crate) fn is_recovering(self) -> bool {
        matches!(self, ZoneState::Recovering(_))
    }
}

/// The reason of a change of state, or another event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Most of the zone's engines fail, and none has answered for a time.
    Lost,
    /// As [`Reason::Lost`], while peers reach the zone: the network path of this dispatcher is cut.
    LostFromHere,
    /// An engine answered again.
    Answered,
    /// Nothing was sent to the zone for a long time: a recovery begins in order to get evidence.
    Untried,
    /// The recovery ramp is complete.
    Recovered,
    /// The zone failed during its recovery.
    FailedAgain,
    /// All zones fail, so this dispatcher is isolated.
    Isolated,
    /// This dispatcher is no longer isolated.
    NotIsolated,
    /// The endpoint list drops engines that answer.
    ListDropsEngines,
}

impl fmt::Display for Reason {
    /// The word that the dispatcher's status page shows.
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

/// A change of a zone's state, or an event that leaves it as it is.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneChange {
    /// Time of the change (ms).
    pub at_ms: f64,
    /// Name of the zone.
    pub zone: String,
    /// The zone's state after the change.
    pub state: ZoneState,
    /// The reason.
    pub reason: Reason,
}

/// Whether a dispatcher reaches a zone, in reports to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// An engine of the zone answered recently.
    Reachable,
    /// The zone is recovering.
    Recovering,
    /// The zone's engines do not answer.
    Unreachable,
    /// There is no recent evidence.
    Unknown,
}

/// This dispatcher's evidence on a zone, for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneEvidence<'a> {
    /// Name of the zone.
    pub zone: &'a str,
    /// Whether the zone is reached.
    pub reachability: Reachability,
    /// Answers since the zone was first listed, wrapping around.
    pub successes: u16,
    /// Missing answers since the zone was first listed, wrapping around.
    pub failures: u16,
}
