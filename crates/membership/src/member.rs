//! Members, their state changes, and user messages.

use crate::codec::{Gossip, MemberId, MemberState};
use std::net::SocketAddr;

/// A member, as last known to this detector.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Identifier derived from the member's name.
    pub id: MemberId,
    /// The member's address.
    pub address: SocketAddr,
    /// The last known state.
    pub state: MemberState,
    /// The last known incarnation.
    pub incarnation: u32,
    /// Time of the last change of `state` (ms). For a suspect, it is moved forward after a pause of this process, which
    /// extends the suspicion.
    pub state_since_ms: f64,
}

impl Member {
    /// Returns the last known state as a claim for dissemination.
    pub(crate) fn to_gossip(&self) -> Gossip {
        Gossip {
            id: self.id,
            address: self.address,
            state: self.state,
            incarnation: self.incarnation,
        }
    }

    /// Whether the member counts as running (alive or suspect).
    pub fn is_present(&self) -> bool {
        self.state.is_present()
    }
}

/// A change of a member: it was added, or its state or address changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateChange {
    /// Time at which the change was recorded (ms).
    pub at_ms: f64,
    /// Identifier of the member.
    pub id: MemberId,
    /// The member's state after the change.
    pub state: MemberState,
}

/// A message of another protocol, carried in a membership datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct UserMessage {
    /// The sender, as claimed by the datagram.
    pub from: MemberId,
    /// The source address of the datagram.
    pub address: SocketAddr,
    /// The message; opaque to the detector.
    pub content: Vec<u8>,
}
