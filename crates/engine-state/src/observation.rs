//! Observations of engines, and the rate at which each kind loses weight.

/// The kind of an observation. [`EngineStateCache::export`] returns observations in the order of the variants; the
/// encoding numbers kinds as [`ObservationKind::ALL`] does.
///
/// [`EngineStateCache::export`]: crate::EngineStateCache::export
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObservationKind {
    /// 1: the engine is draining. Holds until the next incarnation.
    Draining,
    /// 1: the engine is gone. Holds until the next incarnation.
    Gone,
    /// 1: the engine did not answer in time; 0: it answered.
    Unresponsive,
    /// Fraction of the engine's replies that are errors.
    ErrorRate,
    /// Logarithm of the ratio of observed to best run time.
    Slowdown,
    /// The engine's concurrency limit for the low lane (threads per core).
    ConcurrencyLimit,
    /// Time from the engine's start to the observation (ms).
    Uptime,
    /// The table group that a load has locked on the engine.
    LockedTableGroup,
}

impl ObservationKind {
    /// All kinds; the index of a kind is its number in the encoding.
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

    /// Returns the half-life of an observation's weight (ms); `None` for kinds that do not lose weight with age.
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
    /// Id of the engine.
    pub engine_id: u64,
    /// The engine's incarnation: the number of one start of the engine. All dispatchers derive the same number from the
    /// endpoint list.
    pub incarnation: u32,
    /// Kind of the observation.
    pub kind: ObservationKind,
    /// The observed value, in the unit of the kind.
    pub value: f64,
    /// Id of the dispatcher that made the observation.
    pub origin_id: u64,
    /// Sequence number: increases with each observation of the origin, and wraps around (serial number arithmetic).
    pub sequence: u32,
    /// Lower bound of the time since the observation (ms).
    pub age_ms: f64,
}
