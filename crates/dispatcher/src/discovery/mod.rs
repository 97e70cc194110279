//! Discovery: polls the name service for the endpoint list and reports changes.
//!
//! This module owns the socket and the [`EndpointDirectory`], which holds the accepted endpoint list and decides
//! whether an answer is accepted. Each accepted update is reported as one event.

mod departed_engines;
mod directory;
mod engine_ids;
mod engine_starts;
mod list_version;
mod protocol;
mod records;
mod reject_reason;

pub use directory::{AnswerOutcome, EndpointDirectory};

use crate::dns::{self, Answer, DnsError};
use crate::net::{receive_datagram, send_datagram};
use crate::query_registry::{EndpointEntry, Event, QueryRegistry};
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use protocol::SERVICE_NAME;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansymux::events::EndpointListKind;
use thiserror::Error;

/// Polling interval. The platform considers a change announced at most 7 s after it, and the grace period of a drain
/// may be as short as 0.25 s: one interval and one round trip fit into both.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of an answer (bytes): that of a UDP datagram.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Number of most recent queries whose answers are accepted.
const MAX_OPEN_QUERIES: u64 = 20;
/// Number of consecutive queries without a usable answer after which a new socket is opened: a middlebox may have
/// dropped the mapping of the old socket.
const MAX_UNANSWERED_QUERIES: u32 = 8;

/// The reasons for ignoring a datagram.
#[derive(Debug, Error)]
enum UnusableAnswer {
    #[error("{0}")]
    Malformed(#[from] DnsError),
    #[error("the sender is not the name service")]
    UnknownSender,
    #[error("the id is not that of an open query")]
    UnknownQuery,
}

/// Polls the name service and keeps the endpoint list up to date, until dropped. `resolver` may change at any time:
/// the list stays, the next query is sent to the new address, and answers from the old address are ignored.
pub async fn run(
    registry: Rc<QueryRegistry>,
    resolver: Rc<Cell<Option<SocketAddr>>>,
    directory: EndpointDirectory,
    first_id: u16,
) {
    let poller = NameServicePoller {
        registry,
        resolver,
        directory: RefCell::new(directory),
        first_id,
        queries: Cell::new(0),
        unanswered: Cell::new(0),
    };
    let mut socket = poller.bind(None).await;
    loop {
        future::or(
            poller.send_queries(&socket),
            poller.receive_answers(&socket),
        )
        .await;
        tracing::warn!(
            unanswered = MAX_UNANSWERED_QUERIES,
            "no usable answer from the name service, opening a new socket"
        );
        socket = poller.bind(Some(socket)).await;
    }
}

/// The state of discovery, apart from the socket.
struct NameServicePoller {
    registry: Rc<QueryRegistry>,
    resolver: Rc<Cell<Option<SocketAddr>>>,
    directory: RefCell<EndpointDirectory>,
    /// The DNS id of query number 0. The id increases by one per query.
    first_id: u16,
    /// Number of the latest query, counted from 1.
    queries: Cell<u64>,
    /// Number of queries sent since the last usable answer.
    unanswered: Cell<u32>,
}

impl NameServicePoller {
    /// Opens a socket. If that fails, for example at the descriptor limit, returns the old socket if there is one,
    /// else retries until it succeeds: the program cannot work without an endpoint list.
    async fn bind(&self, old: Option<Async<UdpSocket>>) -> Async<UdpSocket> {
        self.unanswered.set(0);
        loop {
            match Async::<UdpSocket>::bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))) {
                Ok(socket) => return socket,
                Err(error) => tracing::error!(%error, "cannot open a socket for discovery"),
            }
            match old {
                Some(old) => return old,
                None => Timer::after(QUERY_INTERVAL).await,
            };
        }
    }

    /// Returns the DNS id of the latest query.
    fn last_id(&self) -> u16 {
        self.first_id.wrapping_add(self.queries.get() as u16)
    }

    /// Sends one query per interval until [`MAX_UNANSWERED_QUERIES`] in a row had no usable answer.
    async fn send_queries(&self, socket: &Async<UdpSocket>) {
        let mut ticks = Timer::interval_at(Instant::now(), QUERY_INTERVAL);
        while self.unanswered.get() < MAX_UNANSWERED_QUERIES && ticks.next().await.is_some() {
            let Some(resolver) = self.resolver.get() else {
                continue;
            };
            self.directory.borrow_mut().observe_wall_clock();
            self.queries.set(self.queries.get() + 1);
            self.unanswered.set(self.unanswered.get() + 1);
            self.registry.counters.dns_queries.increment();
            let query = dns::encode_query(self.last_id(), SERVICE_NAME, dns::SRV);
            if let Err(error) = send_datagram(socket, &query, resolver) {
                tracing::warn!(%resolver, %error, "cannot query the name service");
            }
        }
    }

    async fn receive_answers(&self, socket: &Async<UdpSocket>) {
        let mut buffer = vec![0; MAX_ANSWER_BYTES];
        loop {
            match receive_datagram(socket, &mut buffer).await {
                Ok((length, from)) => self.handle_datagram(&buffer[..length], from),
                Err(error) => {
                    tracing::warn!(%error, "cannot receive from the name service");
                    Timer::after(QUERY_INTERVAL).await;
                }
            }
            // A continuous stream of datagrams must not starve other tasks.
            future::yield_now().await;
        }
    }

    fn handle_datagram(&self, bytes: &[u8], from: SocketAddr) {
        match self.parse(bytes, from) {
            Ok(answer) => self.handle_answer(&answer),
            Err(reason) => {
                self.registry.counters.endpoint_updates_rejected.increment();
                tracing::warn!(bytes = bytes.len(), %from, %reason, "name service answer ignored");
            }
        }
    }

    /// Parses the answer to one of the open queries.
    fn parse(&self, bytes: &[u8], from: SocketAddr) -> Result<Answer, UnusableAnswer> {
        let answer = dns::parse_answer(bytes)?;
        if Some(from) != self.resolver.get() {
            return Err(UnusableAnswer::UnknownSender);
        }
        if self.queries_since(&answer) >= MAX_OPEN_QUERIES.min(self.queries.get()) {
            return Err(UnusableAnswer::UnknownQuery);
        }
        Ok(answer)
    }

    /// Returns the number of queries sent after the query that `answer` is for.
    fn queries_since(&self, answer: &Answer) -> u64 {
        u64::from(self.last_id().wrapping_sub(answer.id))
    }

    fn handle_answer(&self, answer: &Answer) {
        let query = self.queries.get() - self.queries_since(answer);
        let outcome = self.directory.borrow_mut().apply_answer(answer, query);
        match outcome {
            AnswerOutcome::Updated(engines) => self.report_update(engines),
            AnswerOutcome::Unchanged => {}
            AnswerOutcome::Rejected(reason) => {
                self.registry.counters.endpoint_updates_rejected.increment();
                tracing::warn!(%reason, serial = answer.serial, "endpoint list update rejected");
                return;
            }
        }
        self.unanswered.set(0);
    }

    fn report_update(&self, engines: Vec<EndpointEntry>) {
        self.registry.counters.endpoint_updates.increment();
        self.registry.push_event(Event::EndpointList {
            kind: EndpointListKind::Snapshot,
            endpoints: engines,
        });
    }
}

#[cfg(test)]
mod tests;
