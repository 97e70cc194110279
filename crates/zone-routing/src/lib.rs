//! Losing and regaining a zone.
//!
//! Owns: which zones can be reached, by evidence ([`ZoneHealthDetector`]); which zone a class prefers, how much may spill into
//! another one, and how much a zone that came back may be given ([`Plan`]); which definitions could never work
//! ([`define::faults`]). It does no I/O, reads no clock and draws no random numbers. It places no query: the decisions
//! are handed, for each engine, what it may still be given and in which tier it stands, and their one mechanism goes on
//! choosing within that. Rules 1 to 7 stay with them.
//!
//! Invariants, checked in `tests/`:
//! - a zone is called cut by this dispatcher's own failures only, never by hearsay, and never when all zones fail at
//!   once: then this dispatcher is the one that is cut;
//! - what a returning zone may be given grows only while its answers are good, and starts anew when it fails again;
//! - the parts that all dispatchers give a returning engine add up to no more than the whole.
//!
//! Start reading at [`ZoneHealthDetector::look`].

pub mod define;
mod judge;
pub mod message;
mod plan;

pub use define::{Climb, Cut, Definition, Route, Spill, Tier};
pub use judge::{Changed, Engine, Kind, Seen, Why, ZoneHealthDetector, ZoneState};
pub use plan::{EnginePlan, Plan, ZonePlan};
