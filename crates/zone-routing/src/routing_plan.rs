//! The routing plan, which is the input of placement.

use crate::model::ZoneState;

/// The plan for a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePlan {
    /// Name of the zone.
    pub name: String,
    /// Whether the zone can be used.
    pub state: ZoneState,
    /// The zone's tier for each class, from 0, the most preferred.
    pub ranks: Vec<u8>,
    /// Maximum number of threads in the zone for this dispatcher's work from other zones.
    pub spill_threads: f64,
    /// The same limit for each class.
    pub spill_threads_by_class: Vec<f64>,
}

/// The plan for an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePlan {
    /// The engine.
    pub engine_id: u64,
    /// Maximum number of threads on the engine for this dispatcher's work: 0 while its zone is unreachable, infinite while
    /// its zone is healthy.
    pub threads: f64,
}

/// The plan for all zones and engines.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingPlan {
    /// All zones.
    pub zones: Vec<ZonePlan>,
    /// All listed engines.
    pub engines: Vec<EnginePlan>,
    /// Whether this dispatcher is isolated. Isolation moves no work.
    pub is_isolated: bool,
    /// Fraction of the retries that may go to another zone than the previous attempt.
    pub cross_zone_retry_fraction: f64,
}
