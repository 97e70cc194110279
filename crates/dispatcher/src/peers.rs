//! Messages between dispatchers: small datagrams, late or lost.

use crate::query_registry::{Event, QueryRegistry};
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

pub const MAX_MESSAGE: usize = 256;
const PAUSE: Duration = Duration::from_millis(20);

pub struct Peers {
    registry: Rc<QueryRegistry>,
    socket: Async<UdpSocket>,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn bind(
        registry: Rc<QueryRegistry>,
        listen: SocketAddr,
        each: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Peers {
            registry,
            socket: Async::<UdpSocket>::bind(listen)?,
            each,
            all,
        }))
    }

    /// Sends to one dispatcher, or to all; what can't be sent at once is lost, as on the way.
    pub fn send(&self, peer: Option<u32>, content: &[u8]) {
        let to = match peer {
            Some(peer) => self.each.get(peer as usize).copied(),
            None => self.all,
        };
        let Some(to) = to.filter(|_| content.len() <= MAX_MESSAGE) else {
            return;
        };
        match self.socket.get_ref().send_to(content, to) {
            Ok(_) => self.registry.counters.peer_messages_sent.increment(),
            Err(e) => tracing::warn!(%to, error = %e, "a message was not sent"),
        }
    }

    /// Hears messages until dropped.
    pub async fn listen(self: Rc<Self>) {
        let mut bytes = [0; MAX_MESSAGE + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((count, from)) if count <= MAX_MESSAGE => {
                    let Some(peer) = self.each.iter().position(|address| *address == from) else {
                        continue;
                    };
                    self.registry.counters.peer_messages_received.increment();
                    self.registry.push_event(Event::PeerMessage {
                        peer: peer as u32,
                        content: bytes[..count].to_vec(),
                    });
                }
                Ok(_) => {}
                Err(e) => {
                    tracing::warn!(error = %e, "messages could not be heard");
                    Timer::after(PAUSE).await;
                }
            }
            // What is heard waits for the next round: who sends without end leaves that its turn.
            future::yield_now().await;
        }
    }
}

#[cfg(test)]
mod tests;
