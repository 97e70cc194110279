//! Observations of engines and how fast each kind loses weight.

/// What an observation is about. The order is that of the encoding and of [`EngineStateCache::export`].
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
    /// Fraction of its answers that are errors.
    ErrorRate,
    /// Log ratio of observed to best run time.
    Slowdown,
    /// Its concurrency limit for the low lane (threads a core).
    ConcurrencyLimit,
    /// Time since it started (ms); grows with the observation's own age.
    Uptime,
    /// The table group that a load holds locked there.
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

    /// Time (ms) until an observation of this kind has half its weight; `None` where age does not matter.
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

/// Something that a dispatcher observed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// The engine.
    pub engine_id: u64,
    /// Which start of the engine was observed: a number that all dispatchers derive alike from the endpoint list.
    pub incarnation: u32,
    /// What was observed.
    pub kind: ObservationKind,
    /// Its value, in the unit of the kind.
    pub value: f64,
    /// The dispatcher that observed it.
    pub origin_id: u64,
    /// Rises with each observation of this origin, by serial number arithmetic.
    pub sequence: u32,
    /// Lower bound of the time (ms) since it was observed.
    pub age_ms: f64,
}
