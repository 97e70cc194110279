//! The plan that placement works by.

use crate::model::ZoneState;

/// What placement needs to know about a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePlan {
    /// Name of the zone.
    pub name: String,
    /// Whether it can be used.
    pub state: ZoneState,
    /// For each class the tier that the zone belongs to: 0 is preferred.
    pub ranks: Vec<u8>,
    /// Threads of this dispatcher's work from other zones that may run there.
    pub spill_threads: f64,
    /// The same for each class.
    pub spill_threads_by_class: Vec<f64>,
}

/// What placement needs to know about an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePlan {
    /// The engine.
    pub engine_id: u64,
    /// Threads of this dispatcher's work that may run there: 0 while its zone is unreachable, infinite while it is
    /// healthy.
    pub threads: f64,
}

/// The plan that placement works by.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingPlan {
    /// All zones.
    pub zones: Vec<ZonePlan>,
    /// All listed engines.
    pub engines: Vec<EnginePlan>,
    /// This dispatcher is isolated: no work is moved because of that.
    pub is_isolated: bool,
    /// Fraction of the retries that may go to another zone than the attempt before.
    pub cross_zone_retry_fraction: f64,
}
