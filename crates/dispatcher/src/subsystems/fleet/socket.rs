//! The fleet's socket, and the counts of its datagrams.

use crate::net::{receive_datagram, send_datagram, uninterrupted};
use async_io::Async;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Longest datagram that is read, in bytes; messages of the fleet are shorter.
pub(super) const MAX_DATAGRAM_BYTES: usize = 512;

/// The socket for datagrams between members.
pub(super) struct FleetSocket {
    socket: Async<UdpSocket>,
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl FleetSocket {
    /// With a socket that is bound.
    pub fn new(socket: Async<UdpSocket>) -> Self {
        FleetSocket {
            socket,
            sent: Cell::default(),
            received: Cell::default(),
        }
    }

    /// Waits for a datagram: its length and its sender.
    ///
    /// # Errors
    /// The socket failed.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        receive_datagram(&self.socket, buffer).await
    }

    /// A datagram that has already arrived: its length and its sender.
    ///
    /// # Errors
    /// None has arrived, or the socket failed.
    pub fn try_receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let socket = self.socket.get_ref();
        uninterrupted(|| socket.recv_from(buffer))
    }

    /// Counts a datagram that was received.
    pub fn count_received(&self) {
        self.received.set(self.received.get() + 1);
    }

    /// Sends a datagram. A failure counts as a lost datagram: the protocol repeats the ones that matter.
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
