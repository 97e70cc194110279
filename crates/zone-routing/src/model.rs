//! What the detector takes and reports: engines, observations, states of zones and their changes.

use std::fmt;

/// An engine of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The engine.
    pub engine_id: u64,
    /// Name of its zone.
    pub zone: String,
    /// Its cores.
    pub cores: f64,
    /// Whether the list names it ready.
    pub ready: bool,
}

/// What an attempt or a health check showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservationKind {
    /// The engine answered: a result, an error, that it is full, a note or a health check.
    Answered,
    /// No connection, a reset, or no answer until the timeout.
    NoAnswer,
}

/// What was observed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// The engine.
    pub engine_id: u64,
    /// Whether it answered.
    pub kind: ObservationKind,
}

/// Whether a zone can be used from here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ZoneState {
    /// In full use.
    Healthy,
    /// Its engines do not answer: nothing is sent there.
    Unreachable,
    /// It answers again: this fraction of its full use is allowed.
    Recovering(f64),
}

impl ZoneState {
    pub(crate) fn is_recovering(self) -> bool {
        matches!(self, ZoneState::Recovering(_))
    }
}

/// Why a zone's state changed, or what else was noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Most of its engines fail, and nothing answered for a while.
    Lost,
    /// The same, while peers reach it: the path from here is cut.
    LostFromHere,
    /// An engine answered again.
    Answered,
    /// Nothing was tried for a long time: a recovery begins so that something is.
    Untried,
    /// The recovery ramp is complete.
    Recovered,
    /// It failed during its recovery.
    FailedAgain,
    /// All zones fail: this dispatcher is isolated.
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
    /// When it was noticed (ms).
    pub at_ms: f64,
    /// Name of the zone.
    pub zone: String,
    /// Its state from then on.
    pub state: ZoneState,
    /// Why.
    pub reason: Reason,
}

/// Whether a dispatcher reaches a zone, as it reports to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// An engine answered lately.
    Reachable,
    /// It is recovering.
    Recovering,
    /// Its engines do not answer.
    Unreachable,
    /// There is no recent evidence.
    Unknown,
}

/// What this dispatcher knows about a zone, as evidence for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneEvidence<'a> {
    /// Name of the zone.
    pub zone: &'a str,
    /// Whether it is reached.
    pub reachability: Reachability,
    /// Answers since the zone was first listed, wrapping around.
    pub successes: u16,
    /// Missing answers since the zone was first listed, wrapping around.
    pub failures: u16,
}
