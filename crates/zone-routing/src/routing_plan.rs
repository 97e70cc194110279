//! The routing plan: the limits and preferences by zone that placement applies.

use crate::model::ZoneState;

/// The plan for a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePlan {
    /// Name of the zone.
    pub name: String,
    /// How far the zone may be used.
    pub state: ZoneState,
    /// The zone's rank for each class, in the order of the classes passed to
    /// [`crate::ZoneHealthDetector::routing_plan`]; 0 is the most preferred.
    pub ranks: Vec<u8>,
    /// Maximum number of threads that this dispatcher may use in the zone for work that spills into it.
    pub spill_threads: f64,
    /// The same limit for each class, in the same order as `ranks`.
    pub spill_threads_by_class: Vec<f64>,
}

/// The plan for an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePlan {
    /// Identifier of the engine.
    pub engine_id: u64,
    /// Maximum number of threads that this dispatcher may use on the engine: 0 while its zone is unreachable, infinite
    /// while its zone is healthy.
    pub threads: f64,
}

/// The plan for all zones and engines.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingPlan {
    /// The plans for all zones.
    pub zones: Vec<ZonePlan>,
    /// The plans for all listed engines.
    pub engines: Vec<EnginePlan>,
    /// Whether this dispatcher is isolated. Isolation does not move work to other zones.
    pub is_isolated: bool,
    /// Number of cross-zone retries that each retry within the zone of the previous attempt allows.
    pub cross_zone_retry_ratio: f64,
}
