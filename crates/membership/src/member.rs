//! Members, their state changes, and messages of other protocols.

use crate::codec::{Gossip, MemberId, MemberState};
use std::net::SocketAddr;

/// A member as this detector knows it.
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
    /// When `state` last changed (ms).
    pub state_since_ms: f64,
}

impl Member {
    /// The claim about this member for dissemination.
    pub(crate) fn to_gossip(&self) -> Gossip {
        Gossip {
            id: self.id,
            address: self.address,
            state: self.state,
            incarnation: self.incarnation,
        }
    }

    /// Whether the member counts as running: alive or suspected.
    pub fn is_present(&self) -> bool {
        self.state.is_present()
    }
}

/// A change of a member: it appeared, or its state or address changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateChange {
    /// When the change was recorded (ms).
    pub at_ms: f64,
    /// The member.
    pub id: MemberId,
    /// The member's new state.
    pub state: MemberState,
}

/// A message of another protocol in a membership datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct UserMessage {
    /// The sender that the datagram names.
    pub from: MemberId,
    /// The address that the datagram came from.
    pub address: SocketAddr,
    /// The message, which the detector does not interpret.
    pub content: Vec<u8>,
}
