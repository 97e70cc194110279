//! Engine side: carries out attempts, cancels and probes on connections to the engines, and tells the registry
//! how they ended.

mod connection;
mod keep_alive;
mod resp;
mod rows;

use crate::clock::Clock;
use crate::net::{poll_gathered, MAX_SLICES};
use crate::notify::Notify;
use crate::query_registry::{EndpointEntry, EngineCommand, Event, Pages, Query, QueryRegistry};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use connection::{Attempt, Connection, Heard, State, Use};
use futures_lite::future;
use keep_alive::KeepAlive;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tansymux::events::{AttemptLimits, EndpointState, Outcome};

/// Connections to one engine at most, and how many attempts they are to carry where each takes few.
const MAX_CONNECTIONS_AN_ENGINE: usize = 12;
const MAX_OUT_AN_ENGINE: usize = 384;
const READ_AT_ONCE: usize = 32 * 1024;
/// A frame that has begun and does not go on for so long (ms) never will.
const STALL: f64 = 500.0;
/// Part of the told idle time after which a connection is closed from here, before the engine does.
const IDLE_PART: f64 = 0.8;
/// What is given up after nothing was heard on its connection for so many notes' time, and so long (ms) at the
/// least, retires the connection. Where there are no notes, the shortest target runtime stands in for their time.
const QUIET_NOTES: f64 = 1.25;
const QUIET: f64 = 250.0;
/// A attempt on a connection that had idled, and that tells nothing for so many times its cost and at least as long,
/// has the engine checked by another connection: one that died silently takes what goes out and says nothing.
const CHECK_RUNS: f64 = 2.0;

/// A connection that has not come up in its time is waited for so many times as long, for what comes next; and so many in
/// a row that did not tell that an engine can't be reached.
const LATE_TIMES: u32 = 7;
/// Whatever the settings say (s).
const LONGEST_TIMEOUT: f64 = 3600.0;
const UNREACHED: u32 = 2;

/// What is given up on one connection may be sent again on another, and a busy engine reads connections in any order
/// and late. So that the first word is not overtaken, the decisions hear of the end so much (ms) later.
const SETTLES: f64 = 40.0;

/// What the platform tells of connections to engines.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionSettings {
    pub connect_timeout_ms: f64,
    pub idle_timeout_ms: f64,
    /// Time between an engine's notes on a attempt, 0 if it sends none; the shortest target runtime of all groups.
    pub progress_interval_ms: f64,
    pub shortest_objective_ms: f64,
    pub max_streams: usize,
    pub max_connections: usize,
}

struct Engine {
    address: Option<SocketAddr>,
    zone: String,
    started: Option<f64>,
    gone: bool,
    /// Connections in a row that did not come up in their time.
    unreached: u32,
    connections: Vec<Rc<Channel>>,
}

/// A connection: what it carries, and what wakes its writer.
struct Channel {
    engine_id: u64,
    connection: RefCell<Connection>,
    notify: Notify,
}

pub struct EnginePool {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    settings: ConnectionSettings,
    engines: RefCell<FxHashMap<u64, Engine>>,
    tags: Cell<u64>,
    connections: Cell<usize>,
    /// Ends that are told once they have settled, and when that is.
    settling: RefCell<VecDeque<(f64, Event)>>,
    /// How long a connection may idle to be used again.
    keep_alive: RefCell<KeepAlive>,
    /// The one buffer that all connections read through.
    shared: RefCell<Vec<u8>>,
}

impl EnginePool {
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        settings: ConnectionSettings,
    ) -> Rc<Self> {
        let (engines, tags, connections, settling, keep_alive) = Default::default();
        let shared = RefCell::new(vec![0; READ_AT_ONCE]);
        Rc::new(EnginePool {
            registry,
            clock,
            executor,
            settings,
            engines,
            tags,
            connections,
            settling,
            keep_alive,
            shared,
        })
    }

    /// Follows the list: connections to an engine that is gone, moved or started anew are retired. What waits for
    /// them, or for one that drains, is taken back: it might go out past the grace, or to another engine that has
    /// the address by now.
    pub fn upsert_endpoint(&self, told: &EndpointEntry) {
        let mut engines = self.engines.borrow_mut();
        let fresh = || Engine {
            address: told.address,
            zone: told.zone.clone(),
            started: told.started,
            gone: false,
            unreached: 0,
            connections: Vec::new(),
        };
        let engine = engines.entry(told.engine_id).or_insert_with(fresh);
        let gone = told.status == EndpointState::Gone;
        engine.gone = gone;
        engine.zone.clone_from(&told.zone);
        let moved = told.address.is_some() && told.address != engine.address;
        let retire = gone || moved || told.started.is_some() && told.started != engine.started;
        if retire {
            engine.address = told.address.or(engine.address);
            engine.started = told.started;
            engine
                .connections
                .iter()
                .for_each(|channel| channel.retire());
        }
        let channels = engine.connections.clone();
        if gone && channels.is_empty() {
            engines.remove(&told.engine_id);
        }
        drop(engines);
        for channel in channels
            .iter()
            .filter(|_| retire || told.status == EndpointState::Draining)
        {
            let waiting: Vec<Rc<str>> = channel.connection.borrow().not_begun().collect();
            waiting
                .iter()
                .for_each(|id| self.give_up(channel, id, Outcome::NoConnection));
        }
    }

    /// Connections that are open or coming up.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
    }

    // ---- Orders ----

    pub fn execute_commands(self: &Rc<Self>) {
        while let Some(order) = self.registry.next_command() {
            match order {
                EngineCommand::Submit {
                    query,
                    attempt,
                    engine_id,
                    bounds,
                } => self.submit(query, attempt, engine_id, bounds),
                EngineCommand::Withdraw { query } => self.withdraw(query),
                EngineCommand::Cancel { query, attempt } => self.cancel(query, attempt),
                EngineCommand::SetPriority { query, priority } => self.renice(query, priority),
                EngineCommand::HealthCheck { engine_id } => self.probe(engine_id),
            }
        }
    }

    fn submit(self: &Rc<Self>, query: u64, number: usize, engine_id: u64, bounds: AttemptLimits) {
        let now = self.clock.now();
        let read = |q: &Query| {
            (
                q.id.clone(),
                fields_of(q, bounds.deadline_ms - now),
                q.statement.clone(),
                q.estimated_cost_ms,
            )
        };
        let Some((id, fields, statement, cost)) = self.registry.with_query(query, read) else {
            return;
        };
        let Some(channel) = self.channel_for(engine_id, &id, bounds.side_effect_free) else {
            return self.closed(
                query,
                number,
                Outcome::NoConnection,
                engine_id,
                0.0,
                Pages::new(),
            );
        };
        let mut connection = channel.connection.borrow_mut();
        connection.submit(
            &id,
            &fields,
            statement,
            Attempt::new(query, number, now, bounds),
        );
        if connection.idled.is_some_and(|(_, sent)| sent == now) {
            // A cost that is not told is no cost of none.
            let runs = if cost > 0.0 {
                CHECK_RUNS * cost
            } else {
                f64::INFINITY
            };
            connection.check_at = now + QUIET.max(runs).min(self.quiet());
        }
        drop(connection);
        channel.notify.notify();
    }

    /// A connection that can carry this: one that is up, else one that is coming, else a new one. What must not be
    /// lost without a sign goes on none that has idled, whatever is known of those.
    fn channel_for(
        self: &Rc<Self>,
        engine_id: u64,
        id: &str,
        side_effect_free: bool,
    ) -> Option<Rc<Channel>> {
        let mut engines = self.engines.borrow_mut();
        // Where no more may be open, the one that idles longest gives way to a new one.
        let full = self.connections.get() >= self.settings.max_connections;
        let idlest = if full { idlest(&engines) } else { None };
        let engine = engines.get_mut(&engine_id)?;
        let address = engine.address?;
        let now = self.clock.now();
        let longest = self.keep_alive.borrow_mut().longest(now);
        let trusted = if side_effect_free {
            longest
        } else {
            keep_alive::LEAST
        };
        // Of those that stand alike the one with the least out, one that is up, the one used last: the rest go idle.
        let order = |channel: &Rc<Channel>| {
            let c = channel.connection.borrow();
            let order = (c.use_for(now, trusted), c.out(), c.state != State::Up);
            c.takes(id, self.settings.max_streams)
                .then_some((order, c.used))
        };
        let taking = engine
            .connections
            .iter()
            .filter_map(|channel| Some((order(channel)?, channel.clone())));
        let best = taking.min_by(|((a, used), _), ((b, other_used), _)| {
            a.cmp(b).then(other_used.total_cmp(used))
        });
        let room = engine.connections.len() < self.max_an_engine() && (!full || idlest.is_some());
        // What spoils or ends one connection takes all with it that is out there: each gets its own while there is
        // room. Where none that idled is trusted, one more is opened ahead, so that the next need not wait for one.
        let channel = match best {
            Some((((usable, ..), _), channel)) if usable <= Use::Fresh || !room => channel,
            _ if room => {
                idlest.iter().for_each(|idlest| idlest.retire());
                self.open_one(engine, engine_id, address)
            }
            _ => {
                tracing::warn!(engine = %format_args!("{engine_id:08x}"), "no further connection: too many are open");
                return None;
            }
        };
        let ahead = |other: &&Rc<Channel>| {
            let connection = other.connection.borrow();
            !Rc::ptr_eq(other, &channel) && connection.fresh && connection.state != State::Late
        };
        if room
            && !full
            && longest <= keep_alive::LEAST
            && !engine.connections.iter().any(|other| ahead(&other))
        {
            self.open_one(engine, engine_id, address);
        }
        Some(channel)
    }

    fn max_an_engine(&self) -> usize {
        MAX_CONNECTIONS_AN_ENGINE.max(MAX_OUT_AN_ENGINE / self.settings.max_streams.max(1))
    }

    /// Without a note for so long a connection may be dead.
    fn quiet(&self) -> f64 {
        let tells = if self.settings.progress_interval_ms > 0.0 {
            self.settings.progress_interval_ms
        } else {
            self.settings.shortest_objective_ms
        };
        QUIET.max(QUIET_NOTES * tells)
    }

    fn open_one(
        self: &Rc<Self>,
        engine: &mut Engine,
        engine_id: u64,
        address: SocketAddr,
    ) -> Rc<Channel> {
        let (connection, notify) = (
            RefCell::new(Connection::new(self.clock.now())),
            Notify::default(),
        );
        let channel = Rc::new(Channel {
            engine_id,
            connection,
            notify,
        });
        engine.connections.push(channel.clone());
        self.connections.set(self.connections.get() + 1);
        self.registry.counters.engine_connections_opened.increment();
        self.executor
            .spawn(self.clone().run(channel.clone(), address))
            .detach();
        channel
    }

    /// Opens connections to see whether the engine is there, unless some are coming up: as many as have to stay away for
    /// that to be said.
    fn check(self: &Rc<Self>, engine_id: u64) {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(&engine_id) else {
            return;
        };
        let coming = engine
            .connections
            .iter()
            .any(|c| c.connection.borrow().state == State::Connecting);
        let Some(address) = engine.address.filter(|_| !coming) else {
            return;
        };
        for _ in engine.unreached..UNREACHED {
            let room = engine.connections.len() < self.max_an_engine()
                && self.connections.get() < self.settings.max_connections;
            if room {
                self.open_one(engine, engine_id, address);
            }
        }
    }

    fn find(&self, query: u64) -> Option<(Rc<Channel>, Rc<str>)> {
        let id = self.registry.with_query(query, |q| q.id.clone())?;
        let engines = self.engines.borrow();
        let carries = |channel: &&Rc<Channel>| {
            channel
                .connection
                .borrow()
                .attempts
                .get(&id)
                .is_some_and(|attempt| attempt.query == query)
        };
        let channel = engines
            .values()
            .flat_map(|engine| &engine.connections)
            .find(carries)?
            .clone();
        Some((channel, id))
    }

    fn cancel(&self, query: u64, number: usize) {
        let Some((channel, id)) = self.find(query) else {
            return;
        };
        if channel
            .connection
            .borrow()
            .attempts
            .get(&id)
            .is_some_and(|s| s.number == number)
        {
            self.give_up(&channel, &id, Outcome::Cancelled);
        }
    }

    /// Takes back what has not gone out of a query that is over.
    fn withdraw(&self, query: u64) {
        let Some((channel, id)) = self.find(query) else {
            return;
        };
        if !channel.connection.borrow().went_out(&id) {
            self.give_up(&channel, &id, Outcome::Cancelled);
        }
    }

    fn give_up(&self, channel: &Channel, id: &str, outcome: Outcome) {
        let now = self.clock.now();
        let mut connection = channel.connection.borrow_mut();
        let Some((attempt, begun)) = connection.give_up(id, now) else {
            return;
        };
        // Nothing came for longer than notes take: the connection may be dead, and the next one will tell.
        let dead = begun && now - connection.heard.max(attempt.sent) > self.quiet();
        connection.retired |= dead;
        drop(connection);
        channel.notify.notify();
        if dead {
            self.fell_silent(channel.engine_id, false);
        }
        let Attempt {
            query,
            number,
            sent,
            ..
        } = attempt;
        let outcome = if begun {
            outcome
        } else {
            Outcome::NoConnection
        };
        if outcome == Outcome::Cancelled {
            return self.given_up(query, number, outcome, channel.engine_id, now - sent);
        }
        self.closed(
            query,
            number,
            outcome,
            channel.engine_id,
            now - sent,
            Pages::new(),
        );
    }

    /// What idles at an engine that fell silent may be as dead, and where it can't be reached also what idles at the
    /// others of its zone: the next connections tell sooner whether they are there.
    fn fell_silent(&self, engine_id: u64, unreached: bool) {
        let engines = self.engines.borrow();
        let Some(silent) = engines.get(&engine_id) else {
            return;
        };
        let near = engines
            .iter()
            .filter(|(other, engine)| {
                **other == engine_id || unreached && engine.zone == silent.zone
            })
            .map(|(_, engine)| engine);
        let idle = |channel: &&Rc<Channel>| channel.connection.borrow().idles_since().is_finite();
        near.flat_map(|engine| &engine.connections)
            .filter(idle)
            .for_each(|channel| channel.retire());
    }

    /// No connection comes up: what went out on those that had idled, and told nothing since, has reached nobody
    /// either, as far as can be known.
    fn not_there(&self, engine_id: u64) {
        self.fell_silent(engine_id, true);
        let engines = self.engines.borrow();
        for channel in engines
            .get(&engine_id)
            .into_iter()
            .flat_map(|engine| &engine.connections)
        {
            let mut connection = channel.connection.borrow_mut();
            if connection.idled.is_some() && connection.out() > 0 {
                connection.broken =
                    Some((io::ErrorKind::NotConnected, "no other connection comes up"));
                channel.notify.notify();
            }
        }
    }

    fn renice(&self, query: u64, priority: u8) {
        if let Some((channel, id)) = self.find(query) {
            channel.connection.borrow_mut().renice(&id, priority);
            channel.notify.notify();
        }
    }

    fn probe(self: &Rc<Self>, engine_id: u64) {
        let now = self.clock.now();
        self.tags.set(self.tags.get() + 1);
        let tag: Rc<str> = format!("t{}", self.tags.get()).into();
        let Some(channel) = self.channel_for(engine_id, &tag, true) else {
            return self.registry.push_event(Event::HealthCheckEnded {
                engine_id,
                outcome: Outcome::NoConnection,
            });
        };
        channel
            .connection
            .borrow_mut()
            .probe(tag, now, now + self.settings.connect_timeout_ms);
        channel.notify.notify();
    }

    fn closed(
        &self,
        query: u64,
        attempt: usize,
        outcome: Outcome,
        engine_id: u64,
        latency: f64,
        pages: Pages,
    ) {
        self.registry.counters.count_outcome(outcome);
        tracing::debug!(query, attempt, engine = %format_args!("{engine_id:08x}"), ?outcome, latency, "a submission ended");
        self.registry.push_event(Event::AttemptEnded {
            query,
            attempt,
            outcome,
            engine_id,
            latency,
            pages,
        });
    }

    /// The same for what was given up from here.
    fn given_up(&self, query: u64, attempt: usize, outcome: Outcome, engine_id: u64, latency: f64) {
        self.registry.counters.count_outcome(outcome);
        let event = Event::AttemptEnded {
            query,
            attempt,
            outcome,
            engine_id,
            latency,
            pages: Pages::new(),
        };
        self.settling
            .borrow_mut()
            .push_back((self.clock.now() + SETTLES, event));
        self.registry.notify.notify();
    }

    // ---- Time ----

    /// No attempt is waited for beyond `by`.
    pub fn limit_deadlines(&self, by: f64) {
        let engines = self.engines.borrow();
        for channel in engines.values().flat_map(|engine| &engine.connections) {
            channel
                .connection
                .borrow_mut()
                .attempts
                .values_mut()
                .for_each(|s| s.until = s.until.min(by));
        }
    }

    /// Ends what has run out of time, closes what is idle; the next time at which something will.
    pub fn expire(self: &Rc<Self>) -> f64 {
        let now = self.clock.now();
        let mut settling = self.settling.borrow_mut();
        while let Some((_, event)) = settling.pop_front_if(|(at, _)| *at <= now) {
            self.registry.push_event(event);
        }
        // Of those that idle at an engine the one used last may go on: all dispatchers together hold them there.
        let channels = |engine: &Engine| {
            let since = |channel: &Rc<Channel>| channel.connection.borrow().idles_since();
            let last = engine
                .connections
                .iter()
                .map(since)
                .fold(f64::NEG_INFINITY, f64::max);
            let marked = |channel: &Rc<Channel>| (since(channel) >= last, channel.clone());
            engine.connections.iter().map(marked).collect::<Vec<_>>()
        };
        let channels: Vec<(bool, Rc<Channel>)> =
            self.engines.borrow().values().flat_map(channels).collect();
        let mut next = settling.front().map_or(f64::INFINITY, |(at, _)| *at);
        drop(settling);
        let longest = self.keep_alive.borrow_mut().longest(now);
        let keeps_one_ahead = longest <= keep_alive::LEAST;
        let (told, mut checks) = (IDLE_PART * self.settings.idle_timeout_ms, Vec::new());
        for (last, channel) in channels {
            let late: Vec<Rc<str>> = {
                let connection = channel.connection.borrow();
                let late = connection
                    .attempts
                    .iter()
                    .filter(|(_, s)| s.until <= now)
                    .map(|(id, _)| id.clone());
                late.chain(connection.too_late_to_begin(now)).collect()
            };
            late.iter()
                .for_each(|id| self.give_up(&channel, id, Outcome::Timeout));
            let mut connection = channel.connection.borrow_mut();
            let (heard, before) = (connection.heard, connection.probes.len());
            let unheard = connection
                .probes
                .iter()
                .any(|&(_, sent, until)| until <= now && heard <= sent);
            connection.probes.retain(|&(_, _, until)| until > now);
            for _ in connection.probes.len()..before {
                self.registry.push_event(Event::HealthCheckEnded {
                    engine_id: channel.engine_id,
                    outcome: Outcome::Timeout,
                });
            }
            if connection
                .partial
                .take_if(|since| now - *since >= STALL)
                .is_some()
            {
                connection.broken = Some((io::ErrorKind::InvalidData, "an answer stopped short"));
                channel.notify.notify();
            }
            let idles = match (connection.fresh, last) {
                (true, _) if keeps_one_ahead => told,
                (_, true) => longest.min(told),
                (_, false) => keep_alive::LEAST,
            };
            if connection.check_at <= now {
                connection.check_at = f64::INFINITY;
                checks.extend(
                    connection
                        .idled
                        .filter(|_| connection.out() > 0)
                        .map(|_| channel.engine_id),
                );
            }
            let idle = connection.state == State::Up && connection.out() == 0;
            connection.retired |= unheard || idle && now - connection.used > idles;
            if connection.retired {
                // What gives up the last attempt goes out before the close, if it can.
                if connection.out() == 0 && now - connection.used >= STALL {
                    connection.forget_waiting();
                }
                channel.notify.notify();
            }
            let ends = |s: &Attempt| {
                s.until.min(if s.start_by_ms > now {
                    s.start_by_ms
                } else {
                    f64::INFINITY
                })
            };
            let times = connection
                .attempts
                .values()
                .map(ends)
                .chain(connection.probes.iter().map(|p| p.2));
            let times = times.chain(connection.partial.map(|since| since + STALL));
            next = times.fold(next.min(connection.check_at), f64::min);
        }
        checks
            .into_iter()
            .for_each(|engine_id| self.check(engine_id));
        next
    }

    // ---- A connection's life ----

    async fn run(self: Rc<Self>, channel: Rc<Channel>, address: SocketAddr) {
        let timeout = Duration::from_secs_f64(
            (self.settings.connect_timeout_ms / 1000.0).clamp(0.0, LONGEST_TIMEOUT),
        );
        let too_long = |times: u32| async move {
            Timer::after(times * timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let mut connecting = std::pin::pin!(Async::<TcpStream>::connect(address));
        let mut connected = future::or(connecting.as_mut(), too_long(1)).await;
        if connected
            .as_ref()
            .is_err_and(|e| e.kind() == io::ErrorKind::TimedOut)
        {
            self.comes_late(&channel);
            connected = future::or(connecting, too_long(LATE_TIMES)).await;
        }
        let end = match connected {
            Ok(stream) => {
                if channel.connection.borrow().state == State::Late {
                    self.registry.counters.connects_after_timeout.increment();
                }
                channel.connection.borrow_mut().comes_up(self.clock.now());
                self.engines
                    .borrow_mut()
                    .get_mut(&channel.engine_id)
                    .into_iter()
                    .for_each(|e| e.unreached = 0);
                let _ = stream.get_ref().set_nodelay(true);
                future::or(self.read(&channel, &stream), self.write(&channel, &stream)).await
            }
            Err(e) => Err(e),
        };
        self.end(&channel, end);
    }

    /// Writes what waits, until the connection is retired and nothing is out; closing it gives up the rest.
    async fn write(&self, channel: &Channel, stream: &Async<TcpStream>) -> io::Result<()> {
        loop {
            let written = future::poll_fn(|context| {
                while channel.notify.poll_notified(context).is_ready() {}
                // The last look before a request begins to go out: none does past its time.
                let late: Vec<Rc<str>> = channel
                    .connection
                    .borrow()
                    .too_late_to_begin(self.clock.now())
                    .collect();
                late.iter()
                    .for_each(|id| self.give_up(channel, id, Outcome::Timeout));
                let connection = channel.connection.borrow();
                if let Some((kind, what)) = connection.broken {
                    return Poll::Ready(Err(io::Error::new(kind, what)));
                }
                if connection.retired && connection.out() == 0 && !connection.has_waiting() {
                    return Poll::Ready(Ok(None));
                }
                if !connection.has_waiting() {
                    return Poll::Pending;
                }
                let mut slices: Vec<IoSlice> = Vec::with_capacity(MAX_SLICES);
                connection.slices(&mut slices, MAX_SLICES);
                poll_gathered(stream, context, &slices).map_ok(Some)
            });
            match written.await? {
                None => return Ok(()),
                Some(0) => return Err(io::ErrorKind::WriteZero.into()),
                Some(written) => channel.connection.borrow_mut().wrote(written),
            }
        }
    }

    async fn read(&self, channel: &Channel, stream: &Async<TcpStream>) -> io::Result<()> {
        let mut inbox = Vec::new();
        loop {
            let read = |mut stream: &TcpStream| {
                let mut shared = self.shared.borrow_mut();
                let count = stream.read(&mut shared[..])?;
                inbox.extend_from_slice(&shared[..count]);
                Ok(count)
            };
            let mut read = read;
            if stream.read_with(|stream| read(stream)).await? == 0 {
                return Ok(());
            }
            // An engine that sends without end leaves others their turn.
            future::yield_now().await;
            let mut used = 0;
            while let Some(frame) = resp::parse(&inbox[used..]).map_err(spoilt)? {
                used += frame.size;
                let now = self.clock.now();
                let mut connection = channel.connection.borrow_mut();
                if let Some((idled, _)) = connection.idled.take() {
                    self.keep_alive.borrow_mut().learn(now, idled, false);
                }
                let heard = connection.hear(&frame, now);
                drop(connection);
                match heard {
                    Heard::Closed {
                        query,
                        attempt,
                        outcome,
                        sent,
                        pages,
                    } => {
                        self.closed(
                            query,
                            attempt,
                            outcome,
                            channel.engine_id,
                            now - sent,
                            pages,
                        );
                    }
                    Heard::Noted {
                        query,
                        attempt,
                        note,
                        amount,
                    } => {
                        self.registry.push_event(Event::ProgressReported {
                            query,
                            attempt,
                            note,
                            amount,
                        });
                    }
                    Heard::Probed(outcome) => self.registry.push_event(Event::HealthCheckEnded {
                        engine_id: channel.engine_id,
                        outcome,
                    }),
                    Heard::Spoilt(what) => return Err(spoilt(what)),
                    Heard::Nothing => {}
                }
            }
            inbox.drain(..used);
            if inbox.is_empty() {
                inbox = Vec::new();
            }
            let now = self.clock.now();
            channel.connection.borrow_mut().partial = (!inbox.is_empty()).then_some(now);
            if channel.connection.borrow().has_waiting() || channel.connection.borrow().retired {
                channel.notify.notify();
            }
        }
    }

    /// A connection has not come up in its time: what waits for it goes elsewhere, and whatever comes up later carries what
    /// comes next. One may be late by itself; where the next is as well, the engine can't be reached.
    fn comes_late(self: &Rc<Self>, channel: &Rc<Channel>) {
        self.registry.counters.connect_timeouts.increment();
        let mut connection = channel.connection.borrow_mut();
        connection.state = State::Late;
        let waiting: Vec<Rc<str>> = connection.attempts.keys().cloned().collect();
        let probes = std::mem::take(&mut connection.probes).len();
        connection.forget_probes();
        drop(connection);
        if !waiting.is_empty() {
            let engine = format_args!("{:08x}", channel.engine_id);
            tracing::warn!(%engine, waiting = waiting.len(), "a connection does not come up in its time");
        }
        waiting
            .iter()
            .for_each(|id| self.give_up(channel, id, Outcome::NoConnection));
        let probed = Event::HealthCheckEnded {
            engine_id: channel.engine_id,
            outcome: Outcome::NoConnection,
        };
        (0..probes).for_each(|_| self.registry.push_event(probed.clone()));
        let unreached = {
            let mut engines = self.engines.borrow_mut();
            let Some(engine) = engines.get_mut(&channel.engine_id) else {
                return;
            };
            engine.unreached += 1;
            engine.unreached
        };
        if unreached >= UNREACHED {
            self.not_there(channel.engine_id);
        } else if self.doubts_what_idled(channel.engine_id) {
            self.check(channel.engine_id);
        }
    }

    /// Whether something is out there on a connection that had idled, and told nothing since.
    fn doubts_what_idled(&self, engine_id: u64) -> bool {
        let engines = self.engines.borrow();
        let told_nothing = |channel: &Rc<Channel>| {
            let connection = channel.connection.borrow();
            connection.idled.is_some() && connection.out() > 0
        };
        engines
            .get(&engine_id)
            .is_some_and(|engine| engine.connections.iter().any(told_nothing))
    }

    /// The connection is gone: what had gone out whole may have run, what had not never did.
    fn end(&self, channel: &Rc<Channel>, end: io::Result<()>) {
        let now = self.clock.now();
        let mut engines = self.engines.borrow_mut();
        if let Some(engine) = engines.get_mut(&channel.engine_id) {
            engine
                .connections
                .retain(|other| !Rc::ptr_eq(other, channel));
            if engine.gone && engine.connections.is_empty() {
                engines.remove(&channel.engine_id);
            }
        }
        drop(engines);
        self.connections.set(self.connections.get() - 1);
        let mut connection = channel.connection.borrow_mut();
        let was_up = connection.state == State::Up;
        connection.state = State::Down;
        let mut attempts: Vec<(Rc<str>, Attempt)> = connection.attempts.drain().collect();
        attempts.sort_by_key(|(_, s)| s.query);
        // Closed from here: what was out on it is given up by that.
        let kind = end.as_ref().err().map(io::Error::kind);
        let spoilt = kind == Some(io::ErrorKind::InvalidData);
        let given_up = spoilt || was_up && kind == Some(io::ErrorKind::NotConnected);
        if spoilt {
            self.registry.counters.protocol_errors.increment();
        }
        let probes = std::mem::take(&mut connection.probes).len();
        if let (Err(e), true) = (&end, !attempts.is_empty()) {
            let engine = format_args!("{:08x}", channel.engine_id);
            tracing::warn!(%engine, out = attempts.len(), error = %e, "a connection ended");
        }
        // One that had idled and ends as soon as it is used again was closed already, by whatever: that tells of
        // idling and not of the engine, whose next connection will tell.
        let idled = connection
            .idled
            .filter(|&(_, sent)| was_up && !given_up && now - sent < keep_alive::LEAST);
        let idled = idled.filter(|_| !attempts.is_empty());
        if let Some((idled, _)) = idled {
            self.keep_alive.borrow_mut().learn(now, idled, true);
            self.registry.counters.idle_connections_lost.increment();
        }
        // One end is one sign of trouble there, whoever else was out on this connection: those were given up with it.
        let mut first = if idled.is_some() {
            Outcome::Cancelled
        } else {
            Outcome::Reset
        };
        for (id, s) in attempts {
            let ran = was_up && connection.went_out(&id);
            let outcome = if ran {
                std::mem::replace(&mut first, Outcome::Cancelled)
            } else {
                Outcome::NoConnection
            };
            if given_up {
                self.given_up(s.query, s.number, outcome, channel.engine_id, now - s.sent);
            } else {
                self.closed(
                    s.query,
                    s.number,
                    outcome,
                    channel.engine_id,
                    now - s.sent,
                    Pages::new(),
                );
            }
        }
        let outcome = if was_up {
            Outcome::Reset
        } else {
            Outcome::NoConnection
        };
        (0..probes).for_each(|_| {
            self.registry.push_event(Event::HealthCheckEnded {
                engine_id: channel.engine_id,
                outcome,
            })
        });
    }
}

impl Channel {
    fn retire(&self) {
        self.connection.borrow_mut().retired = true;
        self.notify.notify();
    }
}

/// The connection that has idled longest.
fn idlest(engines: &FxHashMap<u64, Engine>) -> Option<Rc<Channel>> {
    let since = |channel: &Rc<Channel>| channel.connection.borrow().idles_since();
    let idle = engines
        .values()
        .flat_map(|engine| &engine.connections)
        .filter(|c| since(c).is_finite());
    idle.min_by(|a, b| {
        since(a)
            .total_cmp(&since(b))
            .then(a.engine_id.cmp(&b.engine_id))
    })
    .cloned()
}

fn spoilt(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// The fields of a request to an engine: what is not said is left to it.
fn fields_of(q: &Query, limit: f64) -> String {
    let mut fields = format!(
        "cls={},limit={}{}",
        q.resource_group,
        limit.floor().max(1.0) as u64,
        q.key_fields
    );
    if let Some(grant) = q.grant {
        if grant.memory_mb > 0.0 {
            fields += &format!(",mb={:.3}", grant.memory_mb);
        }
        fields += &format!(",nice={}", grant.priority);
    }
    fields
}

#[cfg(test)]
mod tests;
