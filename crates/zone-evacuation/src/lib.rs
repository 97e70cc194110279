//! Evacuation of a failing zone by the fleet, and its recovery.
//!
//! Implements docs/design/zones.md. The fleet's leader decides from the reports of all members, as in a zonal evacuation
//! (AWS: zonal shift). A recovery follows a ramp of steps, as after graceful degradation in "Site Reliability Engineering"
//! (chapters 21 and 22). What differs: reports of members inside the zone and of isolated members do not count as
//! evidence, and members share a ramp step by quotas that expire, so that the sum of quotas is bounded while members are
//! lost, paused or restarted.
//!
//! Owns: the leader's decisions ([`EvacuationController`], [`Decision`]), the quotas of a recovering zone
//! ([`RampQuotas`]), how a member uses zones with and without the leader's decisions ([`EvacuationFollower`]), and the
//! layout of their messages ([`codec`]). It does no I/O, reads no clock and stores nothing on disk. crates/coordination
//! agrees on decisions; observations of a single dispatcher belong to crates/zone-routing.
//!
//! Invariants, checked in `tests/`:
//! - the unexpired quotas of a zone add up to no more than its ramp step, whichever members are lost, late, paused or
//!   restarted;
//! - an isolated member, and a member without observations, is no witness;
//! - members inside a zone continue to use it.
//!
//! Start reading at [`EvacuationController::evaluate`].

pub mod codec;
mod config;
mod controller;
mod follower;
mod model;
mod ramp_quotas;

pub use config::Config;
pub use controller::{EvacuationController, EvacuationRefused, Initiator, MemberPresence};
pub use follower::{EvacuationFollower, FollowerEvent, QuotaGrant, ZoneUse};
pub use model::{
    Decision, Evidence, MemberId, MemberReport, Reachability, Reason, Stage, ZoneHealth, ZoneId,
    ZoneStatus, MAX_ZONES,
};
pub use ramp_quotas::{QuotaRequest, RampQuotas};
