//! Sealing and queueing of outgoing datagrams, and verification of received datagrams.

use super::OutgoingDatagram;
use crate::authenticator::{DatagramAuthenticator, Keys};
use crate::codec::{self, Datagram, Gossip, MemberId, Message};
use std::net::SocketAddr;

/// Encodes, seals and queues the datagrams that a member sends, and verifies the datagrams that it receives.
#[derive(Debug, Clone)]
pub(super) struct Transport {
    sender: MemberId,
    authenticator: DatagramAuthenticator,
    sequence_number: u32,
    datagrams: Vec<OutgoingDatagram>,
}

impl Transport {
    /// Creates a transport. `initial_sequence_number` must differ between starts of this member, because responses to
    /// requests sent before a restart may still arrive.
    pub(super) fn new(
        sender: MemberId,
        authenticator: DatagramAuthenticator,
        initial_sequence_number: u32,
    ) -> Self {
        Transport {
            sender,
            authenticator,
            sequence_number: initial_sequence_number,
            datagrams: Vec::new(),
        }
    }

    /// Replaces the keys that authenticate datagrams.
    pub(super) fn set_keys(&mut self, keys: Keys) {
        self.authenticator.set_keys(keys);
    }

    /// Verifies a received datagram and returns its content, see [`DatagramAuthenticator::open`].
    pub(super) fn open<'a>(&mut self, sender: MemberId, bytes: &'a [u8]) -> Option<&'a [u8]> {
        self.authenticator.open(sender, bytes)
    }

    /// Allocates the sequence number of a new request.
    pub(super) fn next_sequence_number(&mut self) -> u32 {
        self.sequence_number = self.sequence_number.wrapping_add(1);
        self.sequence_number
    }

    /// Queues a membership datagram.
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

    /// Queues a user message. Returns false if it does not fit in a datagram.
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

    /// Removes and returns all queued datagrams.
    pub(super) fn take(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.datagrams)
    }
}
