//! Leaving a zone that fails, as a fleet, and returning.
//!
//! "Zone" is what operators and this package call it; where it is one dispatcher's view, crates/zone-routing says "zone" for
//! the same thing.
//!
//! Owns: what the leader makes of the evidence of all ([`EvacuationController`]), its numbered decisions ([`Decision`]), the shares of
//! a returning zone that it gives out ([`RampQuotas`]), and what a member makes of both and of not hearing them
//! ([`EvacuationFollower`]). It does no I/O, reads no clock, sends nothing and keeps nothing for good: decisions are agreed by
//! crates/coordination, and what one dispatcher judges alone stays with crates/zone-routing.
//!
//! Invariants, checked in `tests/`:
//! - the shares of a zone that members may hold at any moment add up to no more than its step, whoever is lost,
//!   late, stopped or restarted;
//! - a witness that is cut off itself, and one that has seen nothing, is none;
//! - nobody inside a zone leaves it.
//!
//! Start reading at [`EvacuationController::look`].

mod define;
mod guide;
mod shares;
mod watch;
pub mod wire;

pub use define::Definition;
pub use guide::{EvacuationFollower, Use};
pub use shares::RampQuotas;
pub use watch::{Decision, EvacuationController, Fleetwide, Refused, Stage, Verdict, Why};

/// A zone's number, drawn from its name.
pub type Zone = u32;
/// A member's number.
pub type Id = u64;

/// Zones that are told apart at most.
pub const MAX_ZONES: usize = 12;
