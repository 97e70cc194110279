//! Evacuation of a failing zone by the fleet, and its recovery.
//!
//! Implements docs/design/zones.md. The fleet's leader decides from the reports of all members, as in a zonal
//! evacuation (AWS: zonal shift). A recovery follows a ramp of steps, as after graceful degradation in "Site
//! Reliability Engineering" (chapters 21 and 22). There are two differences. Reports of isolated members are
//! ignored, and reports of members inside a zone are no evidence for its loss. Members share a ramp step by quotas that
//! expire, so that the sum of the quotas stays bounded while members are lost, paused or restarted.
//!
//! Contents: the leader's decisions ([`EvacuationController`], [`Decision`]), the quotas of a recovering zone
//! ([`RampQuotas`]), a member's use of zones with and without the leader's decisions ([`EvacuationFollower`]), and the
//! wire format of their messages ([`codec`]). The crate does no I/O, reads no clock and stores nothing on disk.
//! Agreement on decisions is part of crates/coordination, and observations of a single dispatcher are part of
//! crates/zone-routing.
//!
//! Invariants, checked in `tests/`:
//! - The sum of a zone's unexpired quotas does not exceed its ramp step, even if members are lost, delayed, paused or
//!   restarted.
//! - Isolated members and members without observations do not count as witnesses.
//! - Members inside a zone continue to use it.
//!
//! Entry point: [`EvacuationController::evaluate`].

pub mod codec;
mod config;
mod controller;
mod follower;
mod model;
mod ramp_quotas;

pub use config::Config;
pub use controller::{EvacuationController, EvacuationError, Initiator, MemberPresence};
pub use follower::{EvacuationFollower, FollowerEvent, QuotaGrant, ZoneUse};
pub use model::{
    Decision, Evidence, MemberId, MemberReport, Reachability, Reason, Stage, ZoneHealth, ZoneId,
    ZoneStatus, MAX_ZONES,
};
pub use ramp_quotas::{QuotaRequest, RampQuotas};
