//! Turns, drains and releases of a fleet.
//!
//! Owns: what the leader decides ([`RolloutController`]: who may be out, which stage a release is in, when it halts), whose turn
//! it is ([`plan`]), whether the released do worse ([`compare`]), what a member knows and asks ([`MemberAgent`]), the
//! messages ([`message`]), and all of it round membership and the voters as one object ([`Fleet`]). It does no I/O and
//! reads no clock: datagrams and times come in, datagrams go out; the program, the tests and the rig drive the same
//! object. It never starts or ends a process and never decides on a query.
//!
//! Invariants, checked in `tests/`:
//! - a turn is told only once a majority keeps it, and is over for its holder before it is counted free;
//! - what was lost counts as out until it is back or the operators say that it will not come;
//! - a halt is final until that one halt is resumed; nothing of a release goes on by itself after it;
//! - all tables, calls and queues are bounded.
//!
//! Start reading at [`Fleet::poll`], then [`RolloutController::command`].

mod agent;
mod caller;
pub mod compare;
pub mod evidence;
mod fleet;
pub mod message;
pub mod plan;
mod steward;
mod zoned;

pub use agent::{MemberAgent, Own};
pub use caller::{FleetClient, Turn, TurnEnd};
pub use fleet::{Fleet, Settings};
pub use plan::Plan;
pub use steward::{halt_of, release_of, RolloutController, Told};
