//! Which connections there are to which engine, and which of them takes the next attempt.

use super::channel::Channel;
use super::connection::{ConnectionState, Suitability};
use super::keep_alive::{KeepAlive, MIN_IDLE_MS};
use super::reports::SettlingReport;
use super::settings::ConnectionSettings;
use crate::clock::Clock;
use crate::query_registry::{EndpointEntry, QueryRegistry};
use async_executor::LocalExecutor;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::events::{EndpointState, Outcome};

/// Bytes read from a connection at once.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// An engine of the endpoint list, with the connections to it.
pub(super) struct Engine {
    pub address: Option<SocketAddr>,
    pub zone: String,
    /// When its process started (Unix ms), where the list says so.
    pub started_ms: Option<f64>,
    /// No longer on the list; it is forgotten once its last connection has ended.
    pub is_gone: bool,
    /// Connects in a row that timed out.
    pub late_connects: u32,
    pub channels: Vec<Rc<Channel>>,
}

impl Engine {
    fn new(entry: &EndpointEntry) -> Self {
        Engine {
            address: entry.address,
            zone: entry.zone.clone(),
            started_ms: entry.started,
            is_gone: false,
            late_connects: 0,
            channels: Vec::new(),
        }
    }

    /// Takes over what the list says. Whether it is another process than before, or none.
    fn update(&mut self, entry: &EndpointEntry) -> bool {
        self.is_gone = entry.status == EndpointState::Gone;
        self.zone.clone_from(&entry.zone);
        let moved = entry.address.is_some() && entry.address != self.address;
        let restarted = entry.started.is_some() && entry.started != self.started_ms;
        let is_replaced = self.is_gone || moved || restarted;
        if is_replaced {
            self.address = entry.address.or(self.address);
            self.started_ms = entry.started;
        }
        is_replaced
    }

    /// Of the connections that can take an attempt with this id, the one that suits it best.
    fn best_channel(
        &self,
        id: &str,
        now_ms: f64,
        trusted_idle_ms: f64,
        max_streams: usize,
    ) -> Option<Candidate> {
        let mut candidates = Vec::new();
        for channel in &self.channels {
            let connection = channel.connection.borrow();
            if connection.accepts(id, max_streams) {
                candidates.push(Candidate {
                    channel: channel.clone(),
                    suitability: connection.suitability(now_ms, trusted_idle_ms),
                    in_flight: connection.in_flight(),
                    is_coming_up: connection.state != ConnectionState::Up,
                    last_used_ms: connection.last_used_ms,
                });
            }
        }
        candidates.into_iter().min_by(Candidate::compare)
    }

    /// Whether a connection beside `channel` is there, or coming, on which nothing went out yet.
    fn has_spare_beside(&self, channel: &Rc<Channel>) -> bool {
        self.channels.iter().any(|other| {
            let connection = other.connection.borrow();
            !Rc::ptr_eq(other, channel)
                && connection.unused
                && connection.state != ConnectionState::Late
        })
    }
}

/// A connection that can take an attempt, and what it is ranked by.
struct Candidate {
    channel: Rc<Channel>,
    suitability: Suitability,
    in_flight: usize,
    is_coming_up: bool,
    last_used_ms: f64,
}

impl Candidate {
    /// Of those of the same suitability the one with the least in flight, one that is up, the one used last: so that
    /// the others go idle and can be closed.
    fn compare(&self, other: &Candidate) -> Ordering {
        self.suitability
            .cmp(&other.suitability)
            .then(self.in_flight.cmp(&other.in_flight))
            .then(self.is_coming_up.cmp(&other.is_coming_up))
            .then(other.last_used_ms.total_cmp(&self.last_used_ms))
    }
}

/// The engine side: all engines with their connections, and what it takes to run attempts on them.
pub struct EnginePool {
    pub(super) registry: Rc<QueryRegistry>,
    pub(super) clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    pub(super) settings: ConnectionSettings,
    pub(super) engines: RefCell<FxHashMap<u64, Engine>>,
    /// Connections that are open or coming up.
    connections: Cell<usize>,
    /// Health checks so far; the last one's tag is made of this number.
    pub(super) health_checks: Cell<u64>,
    /// Ends that are reported once they have settled, the next one first.
    pub(super) settling: RefCell<VecDeque<SettlingReport>>,
    /// How long a connection may idle to be reused.
    pub(super) keep_alive: RefCell<KeepAlive>,
    /// The one buffer that all connections read through.
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
            health_checks: Cell::default(),
            settling: RefCell::default(),
            keep_alive: RefCell::default(),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
        })
    }

    /// Follows the endpoint list. Connections to an engine that is gone, moved or restarted are retired. Attempts that
    /// wait for them, or for one to an engine that drains, are withdrawn: they might go out past the grace period, or
    /// to another engine that has the address by now.
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
        if is_replaced || entry.status == EndpointState::Draining {
            for channel in &channels {
                self.withdraw_unstarted(channel);
            }
        }
    }

    fn withdraw_unstarted(&self, channel: &Channel) {
        let unstarted: Vec<Rc<str>> = channel.connection.borrow().unstarted_requests().collect();
        for id in &unstarted {
            self.abandon(channel, id, Outcome::NoConnection);
        }
    }

    /// Connections that are open or coming up.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
    }

    /// A connection for the attempt with this id: one that is up, else one that is coming up, else a new one. Where
    /// `side_effect_free` is false, an attempt goes on none that has idled: it must not vanish without a sign.
    pub(super) fn select_channel(
        self: &Rc<Self>,
        engine_id: u64,
        id: &str,
        side_effect_free: bool,
    ) -> Option<Rc<Channel>> {
        let mut engines = self.engines.borrow_mut();
        // Where no more may be open, the one that idles longest gives way to a new one.
        let is_full = self.connections.get() >= self.settings.max_connections;
        let evictable = is_full.then(|| least_recently_used(&engines)).flatten();
        let engine = engines.get_mut(&engine_id)?;
        let address = engine.address?;
        let now_ms = self.clock.now();
        let max_idle_ms = self.keep_alive.borrow_mut().max_idle_ms(now_ms);
        let trusted_idle_ms = if side_effect_free {
            max_idle_ms
        } else {
            MIN_IDLE_MS
        };
        let best = engine.best_channel(id, now_ms, trusted_idle_ms, self.settings.max_streams);
        let may_open = self.may_open_another(engine) && (!is_full || evictable.is_some());
        // What breaks one connection takes everything with it that is out there: each attempt gets its own connection
        // while there is room.
        let channel = match best {
            Some(best) if best.suitability <= Suitability::Fresh || !may_open => best.channel,
            _ if may_open => {
                evictable.iter().for_each(|idle| idle.retire());
                self.open_channel(engine, engine_id, address)
            }
            _ => {
                tracing::warn!(engine_id = %format_args!("{engine_id:08x}"), "connection limit reached");
                return None;
            }
        };
        // Where no idle connection is trusted, one more is opened ahead, so that the next attempt need not wait for it.
        let needs_spare = may_open && !is_full && max_idle_ms <= MIN_IDLE_MS;
        if needs_spare && !engine.has_spare_beside(&channel) {
            self.open_channel(engine, engine_id, address);
        }
        Some(channel)
    }

    fn may_open_another(&self, engine: &Engine) -> bool {
        engine.channels.len() < self.settings.max_connections_per_engine()
    }

    /// Opens `count` connections, as far as there is room.
    pub(super) fn open_channels(
        self: &Rc<Self>,
        engine: &mut Engine,
        engine_id: u64,
        address: SocketAddr,
        count: u32,
    ) {
        for _ in 0..count {
            let is_full = self.connections.get() >= self.settings.max_connections;
            if self.may_open_another(engine) && !is_full {
                self.open_channel(engine, engine_id, address);
            }
        }
    }

    fn open_channel(
        self: &Rc<Self>,
        engine: &mut Engine,
        engine_id: u64,
        address: SocketAddr,
    ) -> Rc<Channel> {
        let channel = Rc::new(Channel::new(engine_id, self.clock.now()));
        engine.channels.push(channel.clone());
        self.connections.set(self.connections.get() + 1);
        self.registry.counters.engine_connections_opened.increment();
        let run = self.clone().run_channel(channel.clone(), address);
        self.executor.spawn(run).detach();
        channel
    }

    /// Forgets a connection that has ended, and with the last one an engine that is gone.
    pub(super) fn remove_channel(&self, channel: &Rc<Channel>) {
        let mut engines = self.engines.borrow_mut();
        if let Some(engine) = engines.get_mut(&channel.engine_id) {
            engine.channels.retain(|other| !Rc::ptr_eq(other, channel));
            if engine.is_gone && engine.channels.is_empty() {
                engines.remove(&channel.engine_id);
            }
        }
        self.connections.set(self.connections.get() - 1);
    }
}

/// The connection that has idled longest.
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
