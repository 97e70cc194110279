//! Input and output of a detector.

use std::net::SocketAddr;

/// An input of a detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event<'a> {
    /// A datagram was received. Datagrams that are malformed or not authentic are ignored.
    DatagramReceived {
        /// The source address.
        from: SocketAddr,
        /// The sealed bytes.
        bytes: &'a [u8],
    },
    /// This member is about to leave. The datagrams of the next poll notify other members.
    LeaveRequested,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingDatagram {
    /// The destination address.
    pub to: SocketAddr,
    /// The sealed bytes.
    pub bytes: Vec<u8>,
}

/// The result of a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollOutput {
    /// Datagrams to be sent, in order.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Latest time of the next poll (ms).
    pub next_poll_ms: f64,
}
