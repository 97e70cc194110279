//! Group membership and failure detection for a fleet of dispatchers.
//!
//! Implements SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", DSN 2002) with the local health multiplier of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
//! Health Awareness for More Accurate Failure Detection", 2018). What differs from the papers:
//! - a direct probe is repeated together with each round of indirect probes, and a member is suspected only after two
//!   protocol periods without an answer, because of networks with a high datagram loss;
//! - beside piggybacked gossip, members compare digests of their tables (anti-entropy, [`Message::TableSync`]);
//! - each datagram also contains claims about a few random members, for receivers that missed their gossip;
//! - datagrams are authenticated and replay-protected ([`DatagramAuthenticator`]).
//!
//! Owns: the members and their states ([`SwimDetector`]), the datagram layout ([`codec`]) and which datagrams are
//! accepted ([`authenticator`]). It never does I/O and never reads a clock: datagrams and times come in, datagrams go
//! out. It decides nothing about engines or queries.
//!
//! Invariants, checked in `tests/`:
//! - a datagram is never longer than [`codec::MAX_DATAGRAM_LEN`] bytes;
//! - state is bounded by [`MAX_MEMBERS`], and gossip by what one datagram holds;
//! - a member that answers is never considered dead for longer than its refutation takes to spread;
//! - of two claims about a member the one with the higher incarnation wins, and at equal incarnation the worse state.
//!
//! Start reading at [`SwimDetector::poll`] and [`SwimDetector::handle`].

pub mod authenticator;
pub mod codec;
mod config;
mod detector;
mod member;

pub use authenticator::{DatagramAuthenticator, Keys};
pub use codec::{member_id_of, DecodeError, Gossip, MemberId, MemberState, Message};
pub use config::Config;
pub use detector::{Event, OutgoingDatagram, PollOutput, SwimDetector, MAX_MEMBERS};
pub use member::{Member, StateChange, UserMessage};
