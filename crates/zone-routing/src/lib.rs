//! Zone-aware routing of one dispatcher: detection of zone failures, failover to other zones, and recovery.
//!
//! Implements docs/design/zone-routing.md. Preference tiers and spill limits correspond to locality load balancing with
//! failover priorities in service meshes such as Envoy. Failure detection aggregates passive outlier evidence by zone.
//! Differences: a dispatcher for which all zones fail at once concludes that it is isolated; and a zone recovers along
//! a ramp that advances only while few answers are missing and that is divided equally among the dispatchers.
//!
//! This crate owns the reachability of zones by this dispatcher's evidence ([`ZoneHealthDetector`]); the zone
//! preferences of each class, the spill limits and the limits of recovering zones ([`RoutingPlan`]); and the validation
//! of the configuration ([`Config::validate`]). It does no I/O, reads no clock and draws no random numbers. It places
//! no queries: the admission controller (package `tansymux`) does, within the plan and its rules 1 to 7 for attempts
//! (src/control/dispatch.rs).
//!
//! Invariants, checked in `tests/`:
//! - a zone becomes unreachable only because of failures that this dispatcher observed, never because of peers'
//!   reports, and never while all zones fail at once;
//! - the limit of a recovering zone increases only while few of its answers are missing, and restarts at the initial
//!   fraction after another failure of the zone;
//! - the limits of all dispatchers for an engine of a recovering zone add up to at most its full use.
//!
//! Start reading at [`ZoneHealthDetector::evaluate`].

pub mod codec;
mod config;
mod detector;
mod model;
mod routing_plan;

pub use config::{
    Config, ConfigError, RecoveryRamp, Route, SpillLimit, Tier, UnreachabilityThresholds,
};
pub use detector::{Event, ZoneHealthDetector};
pub use model::{
    Engine, Observation, ObservationKind, Reachability, Reason, ZoneChange, ZoneEvidence, ZoneState,
};
pub use routing_plan::{EnginePlan, RoutingPlan, ZonePlan};
