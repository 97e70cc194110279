//! The datagrams of a member: sealed and queued until the next poll, or verified on receipt.

use super::OutgoingDatagram;
use crate::authenticator::{DatagramAuthenticator, Keys};
use crate::codec::{self, Datagram, Gossip, MemberId, Message};
use std::net::SocketAddr;

/// Encodes, seals and queues the datagrams that a member sends, and verifies those that it receives.
#[derive(Debug, Clone)]
pub(super) struct Transport {
    sender: MemberId,
    authenticator: DatagramAuthenticator,
    sequence_number: u32,
    datagrams: Vec<OutgoingDatagram>,
}

impl Transport {
    /// A transport whose sequence numbers begin at `first_sequence_number`, which has to differ from start to start: answers
    /// to requests of an earlier start of this member may still arrive.
    pub(super) fn new(
        sender: MemberId,
        authenticator: DatagramAuthenticator,
        first_sequence_number: u32,
    ) -> Self {
        Transport {
            sender,
            authenticator,
            sequence_number: first_sequence_number,
            datagrams: Vec::new(),
        }
    }

    /// Replaces the keys of the datagrams.
    pub(super) fn set_keys(&mut self, keys: Keys) {
        self.authenticator.set_keys(keys);
    }

    /// The content of a received datagram, see [`DatagramAuthenticator::open`].
    pub(super) fn open<'a>(&mut self, sender: MemberId, bytes: &'a [u8]) -> Option<&'a [u8]> {
        self.authenticator.open(sender, bytes)
    }

    /// The sequence number of a new request.
    pub(super) fn next_sequence_number(&mut self) -> u32 {
        self.sequence_number = self.sequence_number.wrapping_add(1);
        self.sequence_number
    }

    /// Queues a datagram of the protocol.
    pub(super) fn push(
        &mut self,
        to: SocketAddr,
        message: Message,
        sequence_number: u32,
        gossip: Vec<Gossip>,
    ) {
        let bytes = codec::encode(&Datagram {
            message,
            sender: self.sender,
            sequence_number,
            gossip,
        });
        self.seal_and_push(to, bytes);
    }

    /// Queues a message of another protocol; returns whether it fits in a datagram.
    pub(super) fn push_user_message(&mut self, to: SocketAddr, content: &[u8]) -> bool {
        match codec::encode_user_message(self.sender, content) {
            Some(bytes) => {
                self.seal_and_push(to, bytes);
                true
            }
            None => false,
        }
    }

    fn seal_and_push(&mut self, to: SocketAddr, mut bytes: Vec<u8>) {
        self.authenticator.seal(&mut bytes);
        self.datagrams.push(OutgoingDatagram { to, bytes });
    }

    /// Takes all queued datagrams.
    pub(super) fn take(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.datagrams)
    }
}
