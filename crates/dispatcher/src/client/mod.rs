//! Client side: takes connections, reads queries from them and writes their answers out.

mod http;
mod statement;

use crate::clock::Clock;
use crate::exchange::{Answer, Asked, Exchange, NotTaken, Slot};
use crate::log;
use crate::net::write_gathered;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, StreamExt};
use http::{answer_head, Head};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tansymux::told;

/// The paths of the protocol, and one for the counters.
const QUERY_PATH: &str = "/invoke/";
const HEALTH_PATH: &str = "/_health";
const COUNTERS_PATH: &str = "/_counters";
/// An answer is written by this long (ms) before the client stops waiting.
const ANSWER_AHEAD: f64 = 10.0;
const WRITE_WAIT: Duration = Duration::from_secs(10);
/// Clients close idle connections after 4 s; what is idle for so long, or half sent, is a dead client's.
const IDLE_WAIT: Duration = Duration::from_secs(20);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const READ_AT_ONCE: usize = 16 * 1024;
/// Bytes kept of a client that sends on while its query is in hand.
const MOST_AHEAD: usize = http::MOST_HEAD + http::MOST_BODY;
const LONGEST_WAIT_MS: f64 = 3_600_000.0;
/// An estimate (ms, MB) beyond this is none: it would spoil the means that the decisions keep.
const MOST_ESTIMATE: f64 = 1e9;

pub struct ClientSide {
    exchange: Rc<Exchange>,
    clock: Clock,
    most_connections: usize,
    groups: Vec<String>,
    customers: Vec<String>,
    connections: Cell<usize>,
    /// Whether the front is told that this dispatcher takes queries.
    pub healthy: Cell<bool>,
    /// Connections end after the answer that is due on them, once this is set.
    pub closing: Cell<bool>,
}

impl ClientSide {
    /// `groups` and `customers`: the names that the settings know.
    pub fn new(
        exchange: Rc<Exchange>, clock: Clock, most_connections: usize, groups: Vec<String>,
        customers: Vec<String>,
    ) -> Self {
        let (connections, healthy, closing) = Default::default();
        ClientSide { exchange, clock, most_connections, groups, customers, connections, healthy, closing }
    }

    pub fn bind(listen: SocketAddr) -> io::Result<Async<TcpListener>> {
        Async::<TcpListener>::bind(listen)
    }

    /// Takes connections until dropped.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
        let mut incoming = std::pin::pin!(listener.incoming());
        loop {
            if self.connections.get() >= self.most_connections {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
            match incoming.next().await {
                Some(Ok(stream)) => {
                    self.connections.set(self.connections.get() + 1);
                    self.exchange.counters.connections_from_clients.add();
                    let side = self.clone();
                    let connection = async move {
                        if let Err(e) = side.serve(&stream).await {
                            log!("a client's connection ended: {e}");
                        }
                        side.connections.set(side.connections.get() - 1);
                    };
                    executor.spawn(connection).detach();
                }
                Some(Err(e)) => {
                    log!("no connection could be taken: {e}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
                None => return,
            }
        }
    }

    /// One connection, one request at a time.
    async fn serve(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let mut inbox = Vec::new();
        // When the last of what is in the inbox came: a query's time counts from its last byte.
        let mut since = self.clock.now();
        loop {
            let head = match http::parse(&inbox) {
                Ok(Some(head)) if inbox.len() >= head.size + head.length => head,
                Ok(_) => {
                    let idle = async {
                        Timer::after(IDLE_WAIT).await;
                        Ok(0)
                    };
                    if future::or(read_more(stream, &mut inbox), idle).await? == 0 {
                        return Ok(());
                    }
                    since = self.clock.now();
                    continue;
                }
                Err(wrong) => {
                    self.exchange.counters.refused_at_the_door.add();
                    log!("a request could not be read: {}", wrong.what);
                    return self.write_plain(stream, wrong.status, "{\"error\":\"Unreadable\"}", false).await;
                }
            };
            let (used, keep_alive) = (head.size + head.length, head.keep_alive);
            let taken = self.open(stream, &head, &inbox[head.size..used], since).await?;
            inbox.drain(..used);
            if let Some((number, slot)) = taken {
                match self.wait(stream, number, &slot, &mut inbox, &mut since).await {
                    Some(answer) => self.write_answer(stream, answer, keep_alive).await?,
                    None => return Ok(()),
                }
            }
            if !keep_alive || self.closing.get() {
                return Ok(());
            }
        }
    }

    /// Answers what is no query at once; a query is taken in.
    async fn open(
        &self, stream: &Async<TcpStream>, head: &Head<'_>, body: &[u8], since: f64,
    ) -> io::Result<Option<(u64, Rc<Slot>)>> {
        let keep_alive = head.keep_alive;
        let (status, text) = match (head.method, head.path) {
            ("POST", path) if path.starts_with(QUERY_PATH) => match self.take(head, body, since) {
                Ok(taken) => return Ok(Some(taken)),
                Err((status, what)) => {
                    self.exchange.counters.refused_at_the_door.add();
                    log!("a query was not taken in: {what}");
                    (status, format!("{{\"error\":\"{what}\"}}"))
                }
            },
            ("GET", HEALTH_PATH) if self.healthy.get() => (200, "{}".to_owned()),
            ("GET", HEALTH_PATH) => (503, "{}".to_owned()),
            ("GET", COUNTERS_PATH) => (200, self.exchange.counters.report(self.exchange.in_hand())),
            (_, HEALTH_PATH | COUNTERS_PATH) => (405, "{}".to_owned()),
            // No path is ever given out with an answer, so none can be called.
            _ => (404, "{\"error\":\"Unknown\"}".to_owned()),
        };
        self.write_plain(stream, status, &text, keep_alive).await?;
        Ok(None)
    }

    fn take(&self, head: &Head, body: &[u8], since: f64) -> Result<(u64, Rc<Slot>), (u16, &'static str)> {
        let rg = head.path.strip_prefix(QUERY_PATH).unwrap_or("");
        let id = head.id.filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
        let id = id.ok_or((400, "Req-Id"))?;
        let number = |value: &str| value.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
        let wait =
            head.wait_ms.and_then(number).filter(|ms| *ms <= LONGEST_WAIT_MS).ok_or((400, "Req-Wait-Ms"))?;
        let estimate = |value: Option<&str>| value.map_or(Some(0.0), number).filter(|n| *n <= MOST_ESTIMATE);
        let cost = estimate(head.cost).ok_or((400, "Req-Cost"))?;
        let memory = estimate(head.memory_mb).ok_or((400, "X-Need-Mb"))?;
        if !self.groups.iter().any(|known| known == rg) {
            return Err((404, "unknown resource group"));
        }
        // A customer that the settings do not know counts as none.
        let owner = head.owner.unwrap_or("");
        let customer = self.customers.iter().find(|known| told::is_named(known, owner));
        let customer = customer.map_or("", String::as_str);
        let tables = statement::table_group(body).unwrap_or(u32::MAX);
        let due = since + (wait - ANSWER_AHEAD).max(wait / 2.0);
        let asked = Asked { id, rg, customer, statement: body, due, cost, memory, tables };
        self.exchange.take(&asked).map_err(|not| match not {
            NotTaken::InHand => (409, "a query with this Req-Id is in hand"),
            NotTaken::Past => (409, "a query with this Req-Id was taken before"),
            NotTaken::NoRoom => (503, "TryLater"),
        })
    }

    /// Waits for the answer while watching for the client to leave; none if it left.
    async fn wait(
        &self, stream: &Async<TcpStream>, number: u64, slot: &Slot, inbox: &mut Vec<u8>, since: &mut f64,
    ) -> Option<Answer> {
        let watch = async {
            while inbox.len() < MOST_AHEAD {
                if !matches!(read_more(stream, inbox).await, Ok(1..)) {
                    return;
                }
                *since = self.clock.now();
            }
            future::pending().await
        };
        let answered = async {
            loop {
                if let Some(answer) = slot.take() {
                    return Some(answer);
                }
                slot.notify.notified().await;
            }
        };
        let left = async {
            watch.await;
            None
        };
        let answer = future::or(answered, left).await;
        if answer.is_none() {
            self.exchange.vanished(number);
        }
        answer
    }

    async fn write_answer(
        &self, stream: &Async<TcpStream>, answer: Answer, keep_alive: bool,
    ) -> io::Result<()> {
        let keep_alive = keep_alive && !self.closing.get();
        match answer {
            Answer::Finished(pages) => {
                let mut parts: Vec<&[u8]> = vec![b"", b"{\"data\":["];
                for page in pages.iter().filter(|page| !page.is_empty()) {
                    if parts.len() > 2 {
                        parts.push(b",");
                    }
                    parts.push(page);
                }
                parts.push(b"]}");
                let head = answer_head(200, parts.iter().map(|part| part.len()).sum(), keep_alive, None);
                parts[0] = &head;
                self.write(stream, &parts).await
            }
            Answer::Deferred(retry_after) => {
                let body = b"{\"error\":\"TryLater\"}";
                let head = answer_head(429, body.len(), keep_alive, Some(retry_after.max(0.0).ceil() as u64));
                self.write(stream, &[&head, body]).await
            }
            Answer::Killed => self.write_plain(stream, 500, "{\"error\":\"Killed\"}", keep_alive).await,
        }
    }

    async fn write_plain(
        &self, stream: &Async<TcpStream>, status: u16, text: &str, keep_alive: bool,
    ) -> io::Result<()> {
        let keep_alive = keep_alive && !self.closing.get();
        let head = answer_head(status, text.len(), keep_alive, None);
        self.write(stream, &[&head, text.as_bytes()]).await
    }

    async fn write(&self, stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
        let too_long = async {
            Timer::after(WRITE_WAIT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let written = future::or(write_gathered(stream, parts), too_long).await;
        if written.is_err() {
            self.exchange.counters.answers_not_written.add();
        }
        written
    }
}

async fn read_more(mut stream: &Async<TcpStream>, inbox: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; READ_AT_ONCE];
    let count = stream.read(&mut bytes).await?;
    inbox.extend_from_slice(&bytes[..count]);
    Ok(count)
}
