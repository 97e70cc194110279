//! Datagrams between dispatchers. Delivery is unreliable: a datagram may be late or lost, and is never retransmitted.

use crate::net::{receive_datagram, send_datagram};
use crate::query_registry::{Event, QueryRegistry};
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Maximum size (bytes) of a message: the protocol's limit.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Pause after a failed receive.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The socket to the other dispatchers.
pub struct Peers {
    registry: Rc<QueryRegistry>,
    socket: Async<UdpSocket>,
    /// Addresses of all dispatchers, including this dispatcher's, by dispatcher number.
    addresses: Vec<SocketAddr>,
    /// Address that reaches all other dispatchers.
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Communicates with peers over a bound socket.
    pub fn new(
        registry: Rc<QueryRegistry>,
        socket: Async<UdpSocket>,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> Rc<Self> {
        Rc::new(Peers {
            registry,
            socket,
            addresses,
            broadcast,
        })
    }

    /// Sends a message to one dispatcher, or to all if `peer` is `None`. The message is dropped if it cannot be sent
    /// immediately, is too long, or is addressed to an unknown dispatcher.
    pub fn send(&self, peer: Option<u32>, content: &[u8]) {
        let address = match peer {
            Some(peer) => self.addresses.get(peer as usize).copied(),
            None => self.broadcast,
        };
        let Some(address) = address else {
            return;
        };
        if content.len() > MAX_MESSAGE_BYTES {
            return;
        }
        match send_datagram(&self.socket, content, address) {
            Ok(_) => self.registry.counters.peer_messages_sent.increment(),
            Err(error) => tracing::warn!(%address, %error, "cannot send to a peer"),
        }
    }

    /// Receives messages until the future is dropped. Messages that are too long or from an unknown sender are ignored.
    pub async fn listen(self: Rc<Self>) {
        // One byte more than the limit, so that longer messages are detected.
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            match receive_datagram(&self.socket, &mut buffer).await {
                Ok((length, from)) if length <= MAX_MESSAGE_BYTES => {
                    let Some(peer) = self.peer_at(from) else {
                        continue;
                    };
                    self.receive(peer, &buffer[..length]);
                }
                Ok(_) => {}
                Err(error) => {
                    tracing::warn!(%error, "cannot receive from peers");
                    Timer::after(RETRY_DELAY).await;
                }
            }
            // Messages are handled in the next round. A peer that sends without pause must not delay it.
            future::yield_now().await;
        }
    }

    fn peer_at(&self, address: SocketAddr) -> Option<u32> {
        let index = self.addresses.iter().position(|peer| *peer == address)?;
        Some(index as u32)
    }

    fn receive(&self, peer: u32, content: &[u8]) {
        self.registry.counters.peer_messages_received.increment();
        self.registry.push_event(Event::PeerMessage {
            peer,
            content: content.to_vec(),
        });
    }
}

#[cfg(test)]
mod tests;
