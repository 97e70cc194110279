//! Engine side: carries out submissions, cancels and probes on connections to the engines, and tells the exchange
//! how they ended.

mod link;
mod resp;
mod rows;

use crate::bell::Bell;
use crate::clock::Clock;
use crate::exchange::{Event, Exchange, Listed, Order, Pages, Query};
use crate::log;
use crate::net::{poll_gathered, MOST_SLICES};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};
use link::{Heard, Link, State, Submission};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tansymux::interface::{EngineStatus, Outcome};

const MOST_LINKS_AN_ENGINE: usize = 12;
const READ_AT_ONCE: usize = 32 * 1024;
const MOST_INBOX: usize = 1 << 20;
/// Part of the told idle time after which a connection is closed from here, before the engine does.
const IDLE_PART: f64 = 0.8;
/// A cancel of what nothing was heard of for so long (ms) retires the connection it went out on.
const QUIET: f64 = 250.0;

/// What the platform tells of connections to engines.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    pub connect_timeout: f64,
    pub idle: f64,
    pub streams: usize,
    pub most_links: usize,
}

struct Station {
    address: Option<SocketAddr>,
    started: Option<f64>,
    links: Vec<Rc<Wire>>,
}

/// A connection: what it carries, and the bell for its writer.
struct Wire {
    node: u64,
    link: RefCell<Link>,
    bell: Bell,
}

pub struct EngineSide {
    exchange: Rc<Exchange>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    terms: Terms,
    stations: RefCell<FxHashMap<u64, Station>>,
    tags: Cell<u64>,
    links: Cell<usize>,
}

impl EngineSide {
    pub fn new(
        exchange: Rc<Exchange>, clock: Clock, executor: Rc<LocalExecutor<'static>>, terms: Terms,
    ) -> Rc<Self> {
        let (stations, tags, links) = Default::default();
        Rc::new(EngineSide { exchange, clock, executor, terms, stations, tags, links })
    }

    /// Follows the list: connections to an engine that moved or started anew are retired.
    pub fn listed(&self, engine: &Listed) {
        let mut stations = self.stations.borrow_mut();
        let fresh = || Station { address: engine.address, started: engine.started, links: Vec::new() };
        let station = stations.entry(engine.node).or_insert_with(fresh);
        let moved = engine.address.is_some() && engine.address != station.address;
        if engine.status == EngineStatus::Gone {
            station.links.iter().for_each(|wire| wire.retire());
            if station.links.is_empty() {
                stations.remove(&engine.node);
            }
        } else if moved || engine.started.is_some() && engine.started != station.started {
            station.address = engine.address.or(station.address);
            station.started = engine.started;
            station.links.iter().for_each(|wire| wire.retire());
        }
    }

    // ---- Orders ----

    pub fn carry_out(self: &Rc<Self>) {
        while let Some(order) = self.exchange.next_order() {
            match order {
                Order::Submit { query, submission, node, until } => {
                    self.submit(query, submission, node, until)
                }
                Order::Cancel { query, submission } => self.cancel(query, submission),
                Order::Renice { query, priority } => self.renice(query, priority),
                Order::Probe { node } => self.probe(node),
            }
        }
    }

    fn submit(self: &Rc<Self>, query: u64, number: usize, node: u64, until: f64) {
        let now = self.clock.now();
        let Some((id, fields, statement)) =
            self.exchange.with(query, |q| (q.id.clone(), fields_of(q, until - now), q.statement.clone()))
        else {
            return;
        };
        let Some(wire) = self.link_for(node, &id) else {
            return self.closed(query, number, Outcome::NoConnection, node, 0.0, Pages::new());
        };
        wire.link.borrow_mut().submit(&id, &fields, statement, Submission::new(query, number, now, until));
        wire.bell.ring();
    }

    /// A connection that can carry this: one that is up, else one that is coming, else a new one.
    fn link_for(self: &Rc<Self>, node: u64, id: &str) -> Option<Rc<Wire>> {
        let mut stations = self.stations.borrow_mut();
        let station = stations.get_mut(&node)?;
        for state in [State::Up, State::Connecting] {
            let takes = |wire: &&Rc<Wire>| {
                let link = wire.link.borrow();
                link.state == state && link.takes(id, self.terms.streams)
            };
            if let Some(wire) = station.links.iter().find(takes) {
                return Some(wire.clone());
            }
        }
        let address = station.address?;
        if station.links.len() >= MOST_LINKS_AN_ENGINE || self.links.get() >= self.terms.most_links {
            log!("no further connection to engine {node:08x}: too many are open");
            return None;
        }
        let (link, bell) = (RefCell::new(Link::new(self.clock.now())), Bell::default());
        let wire = Rc::new(Wire { node, link, bell });
        station.links.push(wire.clone());
        self.links.set(self.links.get() + 1);
        self.exchange.counters.connections_to_engines.add();
        self.executor.spawn(self.clone().run(wire.clone(), address)).detach();
        Some(wire)
    }

    fn find(&self, query: u64) -> Option<(Rc<Wire>, Rc<str>)> {
        let id = self.exchange.with(query, |q| q.id.clone())?;
        let stations = self.stations.borrow();
        let carries = |wire: &&Rc<Wire>| {
            wire.link.borrow().submissions.get(&id).is_some_and(|submission| submission.query == query)
        };
        let wire = stations.values().flat_map(|station| &station.links).find(carries)?.clone();
        Some((wire, id))
    }

    fn cancel(&self, query: u64, number: usize) {
        let Some((wire, id)) = self.find(query) else { return };
        if wire.link.borrow().submissions.get(&id).is_some_and(|s| s.number == number) {
            self.give_up(&wire, &id, Outcome::Cancelled);
        }
    }

    fn give_up(&self, wire: &Wire, id: &str, outcome: Outcome) {
        let now = self.clock.now();
        let mut link = wire.link.borrow_mut();
        let Some((submission, begun)) = link.give_up(id, now) else { return };
        // Nothing came since it was sent: the connection may be dead, and the next one will tell.
        let dead = begun && link.heard <= submission.sent && now - submission.sent > QUIET;
        link.retired |= dead;
        drop(link);
        wire.bell.ring();
        let Submission { query, number, sent, .. } = submission;
        let outcome = if begun { outcome } else { Outcome::NoConnection };
        self.closed(query, number, outcome, wire.node, now - sent, Pages::new());
    }

    fn renice(&self, query: u64, priority: u8) {
        if let Some((wire, id)) = self.find(query) {
            wire.link.borrow_mut().renice(&id, priority);
            wire.bell.ring();
        }
    }

    fn probe(self: &Rc<Self>, node: u64) {
        let now = self.clock.now();
        self.tags.set(self.tags.get() + 1);
        let tag: Rc<str> = format!("t{}", self.tags.get()).into();
        let Some(wire) = self.link_for(node, &tag) else {
            return self.exchange.happened(Event::Probed { node, outcome: Outcome::NoConnection });
        };
        wire.link.borrow_mut().probe(tag, now, now + self.terms.connect_timeout);
        wire.bell.ring();
    }

    fn closed(&self, query: u64, submission: usize, outcome: Outcome, node: u64, latency: f64, pages: Pages) {
        self.exchange.counters.ended(outcome);
        self.exchange.happened(Event::Closed { query, submission, outcome, node, latency, pages });
    }

    // ---- Time ----

    /// No submission is waited for beyond `by`.
    pub fn hasten(&self, by: f64) {
        let stations = self.stations.borrow();
        for wire in stations.values().flat_map(|station| &station.links) {
            wire.link.borrow_mut().submissions.values_mut().for_each(|s| s.until = s.until.min(by));
        }
    }

    /// Ends what has run out of time, closes what is idle; the next time at which something will.
    pub fn sweep(&self) -> f64 {
        let now = self.clock.now();
        let wires: Vec<Rc<Wire>> =
            self.stations.borrow().values().flat_map(|station| station.links.iter().cloned()).collect();
        let mut next = f64::INFINITY;
        for wire in wires {
            let late: Vec<Rc<str>> = {
                let link = wire.link.borrow();
                let late = link.submissions.iter().filter(|(_, s)| s.until <= now).map(|(id, _)| id.clone());
                late.collect()
            };
            late.iter().for_each(|id| self.give_up(&wire, id, Outcome::Timeout));
            let mut link = wire.link.borrow_mut();
            let (heard, before) = (link.heard, link.probes.len());
            let unheard = link.probes.iter().any(|&(_, sent, until)| until <= now && heard <= sent);
            link.probes.retain(|&(_, _, until)| until > now);
            for _ in link.probes.len()..before {
                self.exchange.happened(Event::Probed { node: wire.node, outcome: Outcome::Timeout });
            }
            link.retired |= unheard || link.out() == 0 && now - link.used > IDLE_PART * self.terms.idle;
            if link.retired {
                wire.bell.ring();
            }
            let times = link.submissions.values().map(|s| s.until).chain(link.probes.iter().map(|p| p.2));
            next = times.fold(next, f64::min);
        }
        next
    }

    // ---- A connection's life ----

    async fn run(self: Rc<Self>, wire: Rc<Wire>, address: SocketAddr) {
        let timeout = Duration::from_secs_f64((self.terms.connect_timeout / 1000.0).max(0.0));
        let too_long = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = future::or(Async::<TcpStream>::connect(address), too_long).await;
        let end = match connected {
            Ok(stream) => {
                let now = self.clock.now();
                wire.link.borrow_mut().state = State::Up;
                wire.link.borrow_mut().heard = now;
                let _ = stream.get_ref().set_nodelay(true);
                future::or(self.read(&wire, &stream), write(&wire, &stream)).await
            }
            Err(e) => Err(e),
        };
        self.end(&wire, end);
    }

    async fn read(&self, wire: &Wire, mut stream: &Async<TcpStream>) -> io::Result<()> {
        let (mut inbox, mut bytes) = (Vec::new(), vec![0; READ_AT_ONCE]);
        loop {
            let count = stream.read(&mut bytes).await?;
            if count == 0 {
                return Ok(());
            }
            inbox.extend_from_slice(&bytes[..count]);
            let mut used = 0;
            while let Some(frame) = resp::parse(&inbox[used..]).map_err(io::Error::other)? {
                used += frame.size;
                let now = self.clock.now();
                let heard = wire.link.borrow_mut().hear(&frame, now);
                match heard {
                    Heard::Closed { query, submission, outcome, sent, pages } => {
                        self.closed(query, submission, outcome, wire.node, now - sent, pages);
                    }
                    Heard::Noted { query, submission, note, amount } => {
                        self.exchange.happened(Event::Noted { query, submission, note, amount });
                    }
                    Heard::Probed(outcome) => {
                        self.exchange.happened(Event::Probed { node: wire.node, outcome })
                    }
                    Heard::Nothing => {}
                }
            }
            inbox.drain(..used);
            if inbox.len() > MOST_INBOX {
                return Err(io::Error::other("a frame is too long"));
            }
            if wire.link.borrow().has_waiting() || wire.link.borrow().retired {
                wire.bell.ring();
            }
        }
    }

    /// The connection is gone: what had gone out whole may have run, what had not never did.
    fn end(&self, wire: &Rc<Wire>, end: io::Result<()>) {
        let now = self.clock.now();
        if let Some(station) = self.stations.borrow_mut().get_mut(&wire.node) {
            station.links.retain(|other| !Rc::ptr_eq(other, wire));
        }
        self.links.set(self.links.get() - 1);
        let mut link = wire.link.borrow_mut();
        let was_up = link.state == State::Up;
        link.state = State::Down;
        let submissions: Vec<(Rc<str>, Submission)> = link.submissions.drain().collect();
        let probes = std::mem::take(&mut link.probes).len();
        if let (Err(e), true) = (&end, !submissions.is_empty()) {
            log!("the connection to engine {:08x} ended with {} out: {e}", wire.node, submissions.len());
        }
        for (id, s) in submissions {
            let ran = was_up && link.went_out(&id);
            let outcome = if ran { Outcome::Reset } else { Outcome::NoConnection };
            self.closed(s.query, s.number, outcome, wire.node, now - s.sent, Pages::new());
        }
        let outcome = if was_up { Outcome::Reset } else { Outcome::NoConnection };
        (0..probes).for_each(|_| self.exchange.happened(Event::Probed { node: wire.node, outcome }));
    }
}

impl Wire {
    fn retire(&self) {
        self.link.borrow_mut().retired = true;
        self.bell.ring();
    }
}

/// Writes what waits, until the connection is retired and nothing is out; closing it gives up the rest.
async fn write(wire: &Wire, stream: &Async<TcpStream>) -> io::Result<()> {
    loop {
        let written = future::poll_fn(|context| {
            while wire.bell.poll_rung(context).is_ready() {}
            let link = wire.link.borrow();
            if link.retired && link.out() == 0 {
                return Poll::Ready(Ok(None));
            }
            if !link.has_waiting() {
                return Poll::Pending;
            }
            let mut slices: Vec<IoSlice> = Vec::with_capacity(MOST_SLICES);
            link.slices(&mut slices, MOST_SLICES);
            poll_gathered(stream, context, &slices).map_ok(Some)
        });
        match written.await? {
            None => return Ok(()),
            Some(0) => return Err(io::ErrorKind::WriteZero.into()),
            Some(written) => wire.link.borrow_mut().wrote(written),
        }
    }
}

/// The fields of a request to an engine: what is not said is left to it.
fn fields_of(q: &Query, limit: f64) -> String {
    let mut fields = format!("cls={},limit={}", q.rg, limit.floor().max(1.0) as u64);
    if let Some((priority, memory)) = q.granted {
        if memory > 0.0 {
            fields += &format!(",mb={memory:.3}");
        }
        fields += &format!(",nice={priority}");
    }
    fields
}
