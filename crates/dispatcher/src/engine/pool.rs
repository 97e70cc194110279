//! The connection pool: which connections exist to each engine, and which of them carries the next attempt.

use super::channel::{Channel, EngineProcess};
use super::connection::{ConnectionState, IdleReuse, Suitability};
use super::keep_alive::{KeepAlive, MIN_IDLE_MS};
use super::reports::SettlingReport;
use super::settings::ConnectionSettings;
use crate::clock::Clock;
use crate::guard::EndpointFacts;
use crate::query_registry::{EndpointEntry, QueryRegistry};
use async_executor::LocalExecutor;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::events::{EndpointState, Outcome};

/// Size of the shared read buffer (bytes): the most that one read takes from a connection.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// A reuse after idling that was given up in silence.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectedReuse {
    pub reuse: IdleReuse,
    /// When it was given up (ms).
    pub since_ms: f64,
}

/// An engine of the endpoint list and the connections to it.
pub(super) struct Engine {
    engine_id: u64,
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub state: EndpointState,
    /// Start time of its process (ms), if the endpoint list gives it.
    pub started_ms: Option<f64>,
    /// It left the endpoint list. The entry is removed when its last connection has closed.
    pub is_gone: bool,
    /// Consecutive connects that timed out.
    pub late_connects: u32,
    /// When a frame last came from it (ms).
    pub last_frame_ms: f64,
    /// A reuse after idling that was given up in silence, and when: lost, if the engine is heard elsewhere soon.
    pub suspected_reuse: Option<SuspectedReuse>,
    pub channels: Vec<Rc<Channel>>,
}

impl Engine {
    fn new(entry: &EndpointEntry) -> Self {
        Engine {
            engine_id: entry.engine_id,
            address: entry.address,
            zone: entry.zone.clone(),
            kind: entry.kind.clone(),
            state: entry.state,
            started_ms: entry.started_ms,
            is_gone: false,
            late_connects: 0,
            last_frame_ms: f64::NEG_INFINITY,
            suspected_reuse: None,
            channels: Vec::new(),
        }
    }

    /// Applies an entry of the endpoint list. Returns whether the process behind it was replaced or is gone.
    fn update(&mut self, entry: &EndpointEntry) -> bool {
        self.is_gone = entry.state == EndpointState::Gone;
        self.zone.clone_from(&entry.zone);
        self.kind.clone_from(&entry.kind);
        self.state = entry.state;
        let moved = entry.address.is_some() && entry.address != self.address;
        let restarted = entry.started_ms.is_some() && entry.started_ms != self.started_ms;
        let is_replaced = self.is_gone || moved || restarted;
        if is_replaced {
            self.address = entry.address.or(self.address);
            self.started_ms = entry.started_ms;
        }
        is_replaced
    }

    /// What the list says of it, for a connection.
    pub(super) fn facts(&self, channel: &Channel) -> EndpointFacts<'_> {
        EndpointFacts {
            state: self.state,
            zone: &self.zone,
            kind: &self.kind,
            is_same_process: channel.process == self.process(),
        }
    }

    fn process(&self) -> EngineProcess {
        EngineProcess {
            address: self.address,
            started_ms: self.started_ms,
        }
    }

    /// The most suitable of the connections that accept an attempt with this id.
    fn best_channel(
        &self,
        id: &str,
        now_ms: f64,
        trusted_idle_ms: f64,
        max_streams: usize,
    ) -> Option<Candidate> {
        let candidate_of = |channel: &Rc<Channel>| {
            let connection = channel.connection.borrow();
            if !connection.accepts(id, max_streams) {
                return None;
            }
            Some(Candidate {
                channel: channel.clone(),
                suitability: connection.suitability(now_ms, trusted_idle_ms),
                in_flight: connection.in_flight(),
                is_connecting: connection.state != ConnectionState::Up,
                last_used_ms: connection.last_used_ms,
            })
        };
        let candidates = self.channels.iter().filter_map(candidate_of);
        candidates.min_by(Candidate::compare)
    }

    /// Whether another connection than `channel` is unused and either up or still within its connect timeout.
    fn has_spare_beside(&self, channel: &Rc<Channel>) -> bool {
        self.channels.iter().any(|other| {
            let connection = other.connection.borrow();
            !Rc::ptr_eq(other, channel)
                && connection.unused
                && connection.state != ConnectionState::Late
        })
    }
}

/// A connection that accepts an attempt, with the properties it is ranked by.
struct Candidate {
    channel: Rc<Channel>,
    suitability: Suitability,
    in_flight: usize,
    is_connecting: bool,
    last_used_ms: f64,
}

impl Candidate {
    /// Orders by suitability, then fewest in flight, then up before connecting, then most recently used: surplus
    /// connections go idle and can be closed.
    fn compare(&self, other: &Candidate) -> Ordering {
        self.suitability
            .cmp(&other.suitability)
            .then(self.in_flight.cmp(&other.in_flight))
            .then(self.is_connecting.cmp(&other.is_connecting))
            .then(other.last_used_ms.total_cmp(&self.last_used_ms))
    }
}

/// All engines with their connections, and the state shared by the tasks that run them.
pub struct EnginePool {
    pub(super) registry: Rc<QueryRegistry>,
    pub(super) clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    pub(super) settings: ConnectionSettings,
    pub(super) engines: RefCell<FxHashMap<u64, Engine>>,
    /// Connections that are open or connecting.
    connections: Cell<usize>,
    /// Connections that wait for a descriptor, the longest first.
    waiting: RefCell<VecDeque<Rc<Channel>>>,
    /// Health checks sent so far. The number is part of each check's tag.
    pub(super) health_checks: Cell<u64>,
    /// Ends of abandoned attempts whose report is delayed, in the order of their due times.
    pub(super) settling: RefCell<VecDeque<SettlingReport>>,
    /// Estimates how long a connection may idle and still be reused.
    pub(super) keep_alive: RefCell<KeepAlive>,
    /// Read buffer shared by all connections: idle ones hold no memory for reading.
    pub(super) read_buffer: RefCell<Vec<u8>>,
}

impl EnginePool {
    /// A pool without engines.
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        settings: ConnectionSettings,
    ) -> Rc<Self> {
        Rc::new(EnginePool {
            registry,
            clock,
            executor,
            settings,
            engines: RefCell::default(),
            connections: Cell::default(),
            waiting: RefCell::default(),
            health_checks: Cell::default(),
            settling: RefCell::default(),
            keep_alive: RefCell::default(),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
        })
    }

    /// Applies an entry of the endpoint list. Connections to an engine that is gone, moved or restarted are retired.
    /// Queued attempts on them, or on those to a draining engine, are withdrawn: they could be sent after the grace
    /// period, or to another engine that has the same address by now.
    pub fn upsert_endpoint(&self, entry: &EndpointEntry) {
        let mut engines = self.engines.borrow_mut();
        let engine = engines
            .entry(entry.engine_id)
            .or_insert_with(|| Engine::new(entry));
        let is_replaced = engine.update(entry);
        let channels = engine.channels.clone();
        if engine.is_gone && channels.is_empty() {
            engines.remove(&entry.engine_id);
        }
        drop(engines);
        if is_replaced {
            for channel in &channels {
                channel.retire();
            }
        }
        if is_replaced || entry.state == EndpointState::Draining {
            for channel in &channels {
                self.withdraw_unstarted(channel);
            }
        }
    }

    fn withdraw_unstarted(&self, channel: &Channel) {
        let unstarted: Vec<Rc<str>> = channel.connection.borrow().unstarted_requests().collect();
        for id in &unstarted {
            self.abandon(channel, id, Outcome::Withdrawn);
        }
    }

    /// Connections that are open or connecting.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
    }

    /// Selects or opens a connection for the attempt with this id; `None` if the engine is unknown or the connection
    /// limits are reached. An attempt that is not `side_effect_free` is not sent on a connection that has idled
    /// for longer than [`MIN_IDLE_MS`]: it may be dead, and it would be unknown whether the attempt ran.
    pub(super) fn select_channel(
        self: &Rc<Self>,
        engine_id: u64,
        id: &str,
        side_effect_free: bool,
    ) -> Option<Rc<Channel>> {
        let mut engines = self.engines.borrow_mut();
        // At the connection limit the connection that has idled longest is closed in favour of a new one.
        let is_full = self.is_full();
        let evictable = is_full.then(|| least_recently_used(&engines)).flatten();
        let engine = engines.get_mut(&engine_id)?;
        let address = engine.address?;
        let now_ms = self.clock.now();
        let max_idle_ms = self.keep_alive.borrow_mut().max_idle_ms(now_ms);
        let trusted_idle_ms = if side_effect_free {
            self.keep_alive.borrow_mut().trusted_idle_ms(now_ms)
        } else {
            MIN_IDLE_MS
        };
        let best = engine.best_channel(id, now_ms, trusted_idle_ms, self.settings.max_streams);
        let has_room = !is_full || evictable.is_some();
        let may_open = self.may_open_another(engine) && has_room;
        // A lost connection loses every attempt in flight on it: they share one only at a connection limit.
        let channel = match best {
            Some(best) if best.suitability <= Suitability::Fresh || !may_open => best.channel,
            _ if may_open => {
                evictable.iter().for_each(|idle| idle.retire());
                self.open_channel(engine, address)
            }
            // It connects once another connection has closed.
            _ if self.may_open_another(engine) => self.queue_channel(engine, address),
            _ => {
                tracing::warn!(engine_id = %format_args!("{engine_id:08x}"), "connection limit reached");
                return None;
            }
        };
        // If idle connections are not trusted, a spare is opened for the next attempt.
        let needs_spare = may_open && !is_full && max_idle_ms <= MIN_IDLE_MS;
        if needs_spare && !engine.has_spare_beside(&channel) {
            self.open_channel(engine, address);
        }
        Some(channel)
    }

    /// Whether the limit of connections to all engines is reached.
    fn is_full(&self) -> bool {
        self.connections.get() >= self.settings.max_connections
    }

    /// Whether the limit of connections to one engine allows for another.
    fn may_open_another(&self, engine: &Engine) -> bool {
        engine.channels.len() < self.settings.max_connections_per_engine()
    }

    /// Opens `count` connections, or as many as the limits allow.
    pub(super) fn open_channels(
        self: &Rc<Self>,
        engine: &mut Engine,
        address: SocketAddr,
        count: u32,
    ) {
        for _ in 0..count {
            if self.may_open_another(engine) && !self.is_full() {
                self.open_channel(engine, address);
            }
        }
    }

    fn open_channel(self: &Rc<Self>, engine: &mut Engine, address: SocketAddr) -> Rc<Channel> {
        let channel = Rc::new(Channel::new(
            self.next_connection_number(),
            engine.engine_id,
            engine.process(),
            self.clock.now(),
        ));
        self.connections.set(self.connections.get() + 1);
        channel.grant_descriptor();
        self.run(engine, &channel, address);
        channel
    }

    /// A connection that waits for a descriptor: [`EnginePool::release_descriptor`] grants it one, in turn.
    fn queue_channel(self: &Rc<Self>, engine: &mut Engine, address: SocketAddr) -> Rc<Channel> {
        let channel = Rc::new(Channel::new(
            self.next_connection_number(),
            engine.engine_id,
            engine.process(),
            self.clock.now(),
        ));
        self.registry.counters.waits_for_descriptor.increment();
        self.waiting.borrow_mut().push_back(channel.clone());
        self.run(engine, &channel, address);
        channel
    }

    fn next_connection_number(&self) -> u64 {
        self.registry.counters.engine_connections_opened.get() + 1
    }

    fn run(self: &Rc<Self>, engine: &mut Engine, channel: &Rc<Channel>, address: SocketAddr) {
        engine.channels.push(channel.clone());
        self.registry.counters.engine_connections_opened.increment();
        let run = self.clone().run_channel(channel.clone(), address);
        self.executor.spawn(run).detach();
    }

    /// A connection has closed: its descriptor goes to the one that waits longest.
    fn release_descriptor(&self) {
        self.connections.set(self.connections.get() - 1);
        if self.is_full() {
            return;
        }
        if let Some(next) = self.waiting.borrow_mut().pop_front() {
            self.connections.set(self.connections.get() + 1);
            next.grant_descriptor();
        }
    }

    /// Closes idle connections for those that wait for a descriptor.
    pub(super) fn evict_for_waiting(&self) {
        let count = self.waiting.borrow().len();
        for _ in 0..count {
            let idle = least_recently_used(&self.engines.borrow());
            match idle {
                Some(idle) => idle.retire(),
                None => return,
            }
        }
    }

    /// Removes a closed connection, and the engine if it is gone and this was its last connection.
    pub(super) fn remove_channel(&self, channel: &Rc<Channel>) {
        let mut engines = self.engines.borrow_mut();
        if let Some(engine) = engines.get_mut(&channel.engine_id) {
            engine.channels.retain(|other| !Rc::ptr_eq(other, channel));
            if engine.is_gone && engine.channels.is_empty() {
                engines.remove(&channel.engine_id);
            }
        }
        if channel.has_descriptor() {
            self.release_descriptor();
        } else {
            let mut waiting = self.waiting.borrow_mut();
            waiting.retain(|other| !Rc::ptr_eq(other, channel));
        }
    }
}

/// The idle connection that was used least recently, over all engines.
fn least_recently_used(engines: &FxHashMap<u64, Engine>) -> Option<Rc<Channel>> {
    let idle_since_ms = |channel: &Rc<Channel>| channel.connection.borrow().idle_since_ms();
    let channels = engines.values().flat_map(|engine| &engine.channels);
    let idle = channels.filter(|channel| idle_since_ms(channel).is_finite());
    let longest = idle.min_by(|a, b| {
        let by_time = idle_since_ms(a).total_cmp(&idle_since_ms(b));
        by_time.then(a.engine_id.cmp(&b.engine_id))
    });
    longest.cloned()
}
