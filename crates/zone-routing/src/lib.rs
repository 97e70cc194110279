//! Zone-aware routing as one dispatcher sees it: losing a zone and returning to it.
//!
//! Implements docs/design/zone-routing.md. Preference tiers and spill limits follow what service meshes call locality
//! load balancing with failover priorities (as in Envoy); failure detection aggregates passive outlier evidence by
//! zone. What differs: a dispatcher that loses all zones at once concludes that it is isolated itself, and the return
//! is a ramp that advances only while answers are good, shared evenly among dispatchers.
//!
//! Owns: which zones are reachable, by this dispatcher's evidence ([`ZoneHealthDetector`]); which zone a class of work
//! prefers, how much may spill into others, and the limit of a returning zone ([`RoutingPlan`]); and the validation of
//! configurations ([`Config::validate`]). It never does I/O, reads no clock and draws no random numbers. It places no
//! query: placement chooses within the plan, and rules 1 to 7 of the root package still apply.
//!
//! Invariants, checked in `tests/`:
//! - a zone becomes unreachable by this dispatcher's own failures only, never by what peers report, and never while
//!   all zones fail at once;
//! - the limit of a returning zone grows only while few of its answers are missing, and starts again at the initial
//!   fraction when the zone fails again;
//! - the limits of all dispatchers for a returning engine add up to no more than its full use.
//!
//! Start reading at [`ZoneHealthDetector::evaluate`].

pub mod codec;
mod config;
mod detector;
mod model;
mod routing_plan;

pub use config::{Config, ConfigError, CutDetection, RecoveryRamp, Route, SpillLimit, Tier};
pub use detector::{Event, ZoneHealthDetector};
pub use model::{
    Engine, Observation, ObservationKind, Reachability, Reason, ZoneChange, ZoneEvidence, ZoneState,
};
pub use routing_plan::{EnginePlan, RoutingPlan, ZonePlan};
