//! The name service: asks over and over for the list of engines and tells what has changed.

mod directory;

use crate::dns;
use crate::query_registry::{Event, QueryRegistry};
use async_io::{Async, Timer};
pub use directory::{AnswerOutcome, EndpointDirectory};
use futures_lite::{future, StreamExt};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansymux::events::EndpointListKind;

const SERVICE: &str = "_back._tcp.pool.lan";
/// What the service has to tell counts as told 7 s later at the latest, and a drain's grace may be a quarter of a
/// second: a list that comes late by one question and its way is still early.
const ASK_EVERY: Duration = Duration::from_millis(250);
const MAX_ANSWER: usize = 16 * 1024;
/// Answers to this many of the last questions still count.
const QUESTIONS_OPEN: u64 = 20;
/// With nothing of use heard for so many questions, the next goes out from another socket: what lies between may have
/// forgotten the way back to the old one, and nothing would tell.
const QUESTIONS_UNHEARD: u32 = 8;

/// Asks and listens until dropped. `resolver` may come to name another address at any time: what is known stays
/// known, the next question goes there, and what still comes from the old one is passed over.
pub async fn follow(
    registry: Rc<QueryRegistry>,
    resolver: Rc<Cell<Option<SocketAddr>>>,
    directory: EndpointDirectory,
    first_id: u16,
) {
    let following = Following {
        registry,
        resolver,
        directory: RefCell::new(directory),
        first_id,
        asked: Cell::new(0),
        unheard: Cell::new(0),
    };
    let mut socket = following.bind(None).await;
    loop {
        future::or(following.ask(&socket), following.listen(&socket)).await;
        tracing::warn!(
            questions = QUESTIONS_UNHEARD,
            "the name service is silent: it is asked from another socket"
        );
        socket = following.bind(Some(socket)).await;
    }
}

struct Following {
    registry: Rc<QueryRegistry>,
    resolver: Rc<Cell<Option<SocketAddr>>>,
    directory: RefCell<EndpointDirectory>,
    first_id: u16,
    /// Questions so far; the id of the last is the first id and so many more.
    asked: Cell<u64>,
    /// Questions since an answer was of use.
    unheard: Cell<u32>,
}

impl Following {
    /// A new socket, or the old one where no descriptor is left; with neither it tries again, as without a list
    /// nothing else is of use.
    async fn bind(&self, old: Option<Async<UdpSocket>>) -> Async<UdpSocket> {
        self.unheard.set(0);
        loop {
            match Async::<UdpSocket>::bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))) {
                Ok(socket) => return socket,
                Err(e) => tracing::error!(error = %e, "no socket for the name service"),
            }
            match old {
                Some(old) => return old,
                None => Timer::after(ASK_EVERY).await,
            };
        }
    }

    fn id(&self) -> u16 {
        self.first_id.wrapping_add(self.asked.get() as u16)
    }

    /// Asks until nothing of use was heard for too long.
    async fn ask(&self, socket: &Async<UdpSocket>) {
        let mut times = Timer::interval_at(Instant::now(), ASK_EVERY);
        while self.unheard.get() < QUESTIONS_UNHEARD && times.next().await.is_some() {
            let Some(resolver) = self.resolver.get() else {
                continue;
            };
            self.asked.set(self.asked.get() + 1);
            self.unheard.set(self.unheard.get() + 1);
            self.registry.counters.dns_queries.increment();
            if let Err(e) = socket
                .send_to(&dns::query(self.id(), SERVICE, dns::SRV), resolver)
                .await
            {
                tracing::warn!(error = %e, "the name service could not be asked");
            }
        }
    }

    async fn listen(&self, socket: &Async<UdpSocket>) {
        let mut bytes = vec![0; MAX_ANSWER];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((count, from)) => self.heard(&bytes[..count], from),
                Err(e) => {
                    tracing::warn!(error = %e, "the name service could not be heard");
                    Timer::after(ASK_EVERY).await;
                }
            }
            // Who sends without end leaves others their turn.
            future::yield_now().await;
        }
    }

    fn heard(&self, bytes: &[u8], from: SocketAddr) {
        let age = |id: u16| self.id().wrapping_sub(id);
        let ours = Some(from) == self.resolver.get();
        let answer = dns::parse(bytes)
            .filter(|a| ours && u64::from(age(a.id)) < QUESTIONS_OPEN.min(self.asked.get()));
        let Some(answer) = answer else {
            self.registry.counters.endpoint_updates_rejected.increment();
            return tracing::warn!(bytes = bytes.len(), %from, "an answer of the name service could not be used");
        };
        let question = self.asked.get() - u64::from(age(answer.id));
        match self.directory.borrow_mut().apply_answer(&answer, question) {
            AnswerOutcome::Updated(engines) => {
                self.registry.counters.endpoint_updates.increment();
                self.registry.push_event(Event::EndpointList {
                    form: EndpointListKind::Snapshot,
                    engines,
                });
            }
            AnswerOutcome::Unchanged => {}
            AnswerOutcome::Rejected(why) => {
                self.registry.counters.endpoint_updates_rejected.increment();
                return tracing::warn!(why, "an answer of the name service is passed over");
            }
        }
        self.unheard.set(0);
    }
}

#[cfg(test)]
mod tests;
