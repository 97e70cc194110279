//! What the detector knows of a member, and what it reports.

use crate::codec::{Gossip, MemberId, MemberState};
use std::net::SocketAddr;

/// A member as this detector knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Identifier derived from the member's name.
    pub id: MemberId,
    /// Where its datagrams go.
    pub address: SocketAddr,
    /// Its last known state.
    pub state: MemberState,
    /// Its last known incarnation.
    pub incarnation: u32,
    /// When `state` last changed (ms).
    pub state_since_ms: f64,
}

impl Member {
    /// The claim about this member that is passed on to others.
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

/// A member appeared, changed its state or moved to another address.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateChange {
    /// When it was noticed (ms).
    pub at_ms: f64,
    /// The member.
    pub id: MemberId,
    /// Its state from then on.
    pub state: MemberState,
}

/// A message that another protocol sent through the membership datagrams.
#[derive(Debug, Clone, PartialEq)]
pub struct UserMessage {
    /// The sender as the datagram names it.
    pub from: MemberId,
    /// The address that the datagram came from.
    pub address: SocketAddr,
    /// The message, not interpreted here.
    pub content: Vec<u8>,
}
