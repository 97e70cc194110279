//! Which instances are there.
//!
//! Owns: who is a member and in which state ([`SwimDetector`]), how that is found out (a probe of one member in each period,
//! asked of others before anyone is suspected; after the SWIM paper, with the slower suspicion of a detector that is
//! itself slow, after Lifeguard), what a datagram holds ([`wire`]) and which are believed ([`seal`]). It does no I/O
//! and reads no clock: datagrams and times come in, datagrams go out. It decides nothing about engines or queries.
//!
//! Invariants, checked in `tests/`:
//! - a datagram is never longer than [`wire::MOST`] bytes;
//! - state is bounded by [`MAX_MEMBERS`], and news by what one datagram holds;
//! - a member that answers is never held for dead for longer than it takes a refutation to come round;
//! - of two pieces of news the one with the higher incarnation holds, and at the same incarnation the worse one.
//!
//! Start reading at [`SwimDetector::poll`].

mod group;
pub mod seal;
pub mod wire;

pub use group::{Carried, Change, Member, Settings, SwimDetector, MAX_MEMBERS};
pub use wire::{Id, State};
