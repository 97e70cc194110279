//! Observations of engines and how fast each kind loses weight.

/// The kind of an observation. The order is that of the encoding and of [`EngineStateCache::export`].
///
/// [`EngineStateCache::export`]: crate::EngineStateCache::export
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObservationKind {
    /// 1: the engine drains. Ends with a new incarnation.
    Draining,
    /// 1: the engine is gone. Ends with a new incarnation.
    Gone,
    /// 1: the engine did not answer when it should have; 0: it answered.
    Unresponsive,
    /// Fraction of the engine's answers that are errors.
    ErrorRate,
    /// Log ratio of observed to best run time.
    Slowdown,
    /// The engine's concurrency limit for the low lane (threads a core).
    ConcurrencyLimit,
    /// Time since the engine started (ms); grows with the observation's own age.
    Uptime,
    /// The table group that a load has locked there.
    LockedTableGroup,
}

impl ObservationKind {
    /// All kinds; a kind's position is its number in the encoding.
    pub const ALL: [ObservationKind; 8] = [
        ObservationKind::Draining,
        ObservationKind::Gone,
        ObservationKind::Unresponsive,
        ObservationKind::ErrorRate,
        ObservationKind::Slowdown,
        ObservationKind::ConcurrencyLimit,
        ObservationKind::Uptime,
        ObservationKind::LockedTableGroup,
    ];

    /// Half-life of the weight of an observation of this kind (ms); `None` where age does not matter.
    pub(crate) fn half_life_ms(self) -> Option<f64> {
        match self {
            ObservationKind::Draining | ObservationKind::Gone | ObservationKind::Uptime => None,
            ObservationKind::Unresponsive => Some(4000.0),
            ObservationKind::ErrorRate => Some(5000.0),
            ObservationKind::Slowdown => Some(5000.0),
            ObservationKind::ConcurrencyLimit => Some(15_000.0),
            ObservationKind::LockedTableGroup => Some(1500.0),
        }
    }
}

/// An observation of an engine by a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// The engine.
    pub engine_id: u64,
    /// The engine's incarnation: a number for each start, which all dispatchers derive equally from the endpoint list.
    pub incarnation: u32,
    /// The kind.
    pub kind: ObservationKind,
    /// The value, in the unit of the kind.
    pub value: f64,
    /// The dispatcher that made the observation.
    pub origin_id: u64,
    /// Sequence number: increases with each observation of this origin, by serial number arithmetic.
    pub sequence: u32,
    /// Lower bound of the time since the observation (ms).
    pub age_ms: f64,
}
