//! Group membership and failure detection for a fleet of dispatchers.
//!
//! Implements SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", DSN 2002) with the local health multiplier of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
//! Health Awareness for More Accurate Failure Detection", 2018). Differences from the papers:
//! - to tolerate networks with high datagram loss, the direct probe is repeated with each round of indirect probes, and
//!   a member is suspected only after two protocol periods without an answer;
//! - in addition to piggybacked gossip, members compare digests of their tables (anti-entropy, [`Message::TableSync`]);
//! - each datagram also carries claims about a few random members, for receivers that missed earlier gossip;
//! - datagrams are authenticated and replay-protected ([`DatagramAuthenticator`]).
//!
//! This crate owns the members and their states ([`SwimDetector`]), the datagram layout ([`codec`]) and the
//! authentication of datagrams ([`authenticator`]). It does no I/O and reads no clock: the caller passes in received
//! datagrams and the time, and sends the datagrams that [`SwimDetector::poll`] returns. It makes no decisions about
//! engines or queries.
//!
//! Invariants, checked in `tests/`:
//! - a datagram is never longer than [`codec::MAX_DATAGRAM_LEN`] bytes;
//! - memory use is bounded by [`MAX_MEMBERS`], and the gossip in a message by the capacity of one datagram;
//! - a member that answers probes is considered dead at most until its refutation has spread;
//! - of two claims about a member, the claim with the higher incarnation wins; at equal incarnations, the claim with
//!   the later state in the order of [`MemberState`] wins.
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
