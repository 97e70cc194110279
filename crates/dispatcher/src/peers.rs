//! Messages between dispatchers: small datagrams, late or lost.

use crate::exchange::{Event, Exchange};
use async_io::{Async, Timer};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

pub const MOST_MESSAGE: usize = 256;
const PAUSE: Duration = Duration::from_millis(20);

pub struct Peers {
    exchange: Rc<Exchange>,
    socket: Async<UdpSocket>,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn bind(
        exchange: Rc<Exchange>, listen: SocketAddr, each: Vec<SocketAddr>, all: Option<SocketAddr>,
    ) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Peers { exchange, socket: Async::<UdpSocket>::bind(listen)?, each, all }))
    }

    /// Sends to one dispatcher, or to all; what can't be sent at once is lost, as on the way.
    pub fn send(&self, peer: Option<u32>, content: &[u8]) {
        let to = match peer {
            Some(peer) => self.each.get(peer as usize).copied(),
            None => self.all,
        };
        let Some(to) = to.filter(|_| content.len() <= MOST_MESSAGE) else { return };
        match self.socket.get_ref().send_to(content, to) {
            Ok(_) => self.exchange.counters.messages_sent.add(),
            Err(e) => tracing::warn!(%to, error = %e, "a message was not sent"),
        }
    }

    /// Hears messages until dropped.
    pub async fn listen(self: Rc<Self>) {
        let mut bytes = [0; MOST_MESSAGE + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((count, from)) if count <= MOST_MESSAGE => {
                    let Some(peer) = self.each.iter().position(|address| *address == from) else { continue };
                    self.exchange.counters.messages_heard.add();
                    self.exchange
                        .happened(Event::Told { peer: peer as u32, content: bytes[..count].to_vec() });
                }
                Ok(_) => {}
                Err(e) => {
                    tracing::warn!(error = %e, "messages could not be heard");
                    Timer::after(PAUSE).await;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_known_senders_and_short_messages_are_heard() {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (friend, stranger) = (UdpSocket::bind(any).unwrap(), UdpSocket::bind(any).unwrap());
        let exchange = Rc::new(Exchange::default());
        let each = vec![any, friend.local_addr().unwrap()];
        let peers = Peers::bind(exchange.clone(), any, each, None).unwrap();
        let at = peers.socket.get_ref().local_addr().unwrap();
        stranger.send_to(b"x", at).unwrap();
        friend.send_to(&[7; MOST_MESSAGE + 1], at).unwrap();
        friend.send_to(&[7; MOST_MESSAGE], at).unwrap();
        let heard = async {
            exchange.notify.notified().await;
        };
        let late = async {
            Timer::after(Duration::from_secs(10)).await;
        };
        async_io::block_on(futures_lite::future::or(
            futures_lite::future::or(heard, peers.clone().listen()),
            late,
        ));
        let events: Vec<Event> = std::iter::from_fn(|| exchange.next_event()).collect();
        assert!(matches!(&events[..], [Event::Told { peer: 1, content }] if content.len() == MOST_MESSAGE));
        peers.send(Some(1), &[7; MOST_MESSAGE + 1]);
        peers.send(None, b"x");
        peers.send(Some(9), b"x");
        assert_eq!(exchange.counters.messages_sent.get(), 0);
        peers.send(Some(1), b"hi");
        assert_eq!(exchange.counters.messages_sent.get(), 1);
    }
}
