//! The fleet's UDP socket and its datagram counters.

use crate::net::{receive_datagram, retry_interrupted, send_datagram};
use async_io::Async;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Size (bytes) of the receive buffer. All fleet messages are shorter.
pub(super) const MAX_DATAGRAM_BYTES: usize = 512;

/// UDP socket for datagrams between fleet members, with counters.
pub(super) struct FleetSocket {
    socket: Async<UdpSocket>,
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl FleetSocket {
    /// Wraps a bound socket.
    pub fn new(socket: Async<UdpSocket>) -> Self {
        FleetSocket {
            socket,
            sent: Cell::default(),
            received: Cell::default(),
        }
    }

    /// Waits for a datagram, and returns its length and its sender.
    ///
    /// # Errors
    /// The socket failed.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        receive_datagram(&self.socket, buffer).await
    }

    /// Returns the length and the sender of a datagram that is already queued on the socket.
    ///
    /// # Errors
    /// No datagram is queued, or the socket failed.
    pub fn try_receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let socket = self.socket.get_ref();
        retry_interrupted(|| socket.recv_from(buffer))
    }

    /// Increments the count of received datagrams.
    pub fn count_received(&self) {
        self.received.set(self.received.get() + 1);
    }

    /// Sends a datagram. A send failure is treated as datagram loss: the protocol retransmits the messages that must
    /// arrive.
    pub fn send(&self, datagram: &[u8], to: SocketAddr) {
        match send_datagram(&self.socket, datagram, to) {
            Ok(_) => self.sent.set(self.sent.get() + 1),
            Err(error) => tracing::debug!(%to, %error, "fleet datagram not sent"),
        }
    }

    /// Datagrams sent since the start.
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    /// Datagrams received since the start.
    pub fn received(&self) -> u64 {
        self.received.get()
    }
}
