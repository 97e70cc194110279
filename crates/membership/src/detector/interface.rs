//! Input and output of a detector.

use std::net::SocketAddr;

/// An input of a detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event<'a> {
    /// A datagram arrived. It is ignored if it cannot be decoded or is not authentic.
    DatagramReceived {
        /// The address of the sender.
        from: SocketAddr,
        /// The bytes.
        bytes: &'a [u8],
    },
    /// This member leaves; the datagrams of the next poll notify the others.
    LeaveRequested,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingDatagram {
    /// The address of the receiver.
    pub to: SocketAddr,
    /// The sealed bytes.
    pub bytes: Vec<u8>,
}

/// The result of a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollOutput {
    /// Datagrams to be sent, in order.
    pub datagrams: Vec<OutgoingDatagram>,
    /// When to poll next at the latest (ms).
    pub next_poll_ms: f64,
}
