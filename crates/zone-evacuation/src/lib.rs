//! Evacuating a failing zone as a fleet, and returning to it.
//!
//! Implements docs/design/zones.md: the fleet's leader decides from the reports of all members, in the manner of a
//! zonal evacuation (AWS calls it zonal shift), and a return follows a ramp of steps like the recovery ramp of
//! graceful degradation in "Site Reliability Engineering" (chapters 21 and 22). What differs: witnesses inside the
//! zone and witnesses that are cut off themselves do not count, and a step of the ramp is shared among members by
//! quotas that expire, so that their sum holds although members are lost, paused or restarted.
//!
//! Owns: the leader's decisions ([`EvacuationController`], [`Decision`]), the quotas of a returning zone
//! ([`RampQuotas`]), what a member makes of decisions and of not hearing them ([`EvacuationFollower`]), and the layout
//! of their messages ([`codec`]). It never does I/O, reads no clock and keeps nothing on disk: decisions are agreed by
//! crates/coordination, and what one dispatcher observes alone belongs to crates/zone-routing.
//!
//! Invariants, checked in `tests/`:
//! - the quotas of a zone that members may hold at any moment add up to no more than its ramp step, whoever is lost,
//!   late, paused or restarted;
//! - a member that is cut off itself, or has observed nothing, is no witness;
//! - members inside a zone go on using it.
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
