//! Allocation of connections: selects the connection of an attempt, and opens another within the limits.

mod descriptor_limit;

use super::channel::handler::ChannelHandler;
use super::channel::task;
use super::channel::Channel;
use super::channel_request::ChannelRequest;
use super::connection::Suitability;
use super::engine_entry::Engine;
use super::engine_table::EngineTable;
use super::idle_reuse::ReuseTracker;
use super::keep_alive::MIN_IDLE_MS;
use super::settings::ConnectionSettings;
use crate::clock::Clock;
use crate::ids::{ConnectionId, EngineId};
use crate::query_registry::QueryRegistry;
use async_executor::LocalExecutor;
use descriptor_limit::DescriptorLimit;
use std::net::SocketAddr;
use std::rc::Rc;

/// What the limit of all connections leaves for another one.
struct Headroom {
    is_limit_reached: bool,
    /// At the limit: the connection that would be closed in favour of a new one.
    evictable: Option<Rc<Channel>>,
}

impl Headroom {
    fn allows_another(&self) -> bool {
        !self.is_limit_reached || self.evictable.is_some()
    }
}

/// How a new connection gets its descriptor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Descriptor {
    /// Immediately.
    Granted,
    /// Once [`ChannelAllocator::release`] grants it one that another connection held.
    Queued,
}

/// Opens connections and allocates them to attempts.
pub(super) struct ChannelAllocator {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    settings: ConnectionSettings,
    engines: Rc<EngineTable>,
    reuses: Rc<ReuseTracker>,
    descriptors: DescriptorLimit,
}

impl ChannelAllocator {
    /// An allocator without connections.
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        settings: ConnectionSettings,
        engines: Rc<EngineTable>,
        reuses: Rc<ReuseTracker>,
    ) -> Self {
        ChannelAllocator {
            registry,
            clock,
            executor,
            settings,
            engines,
            reuses,
            descriptors: DescriptorLimit::new(settings.max_connections),
        }
    }

    /// Number of connections that are open or connecting.
    pub fn connection_count(&self) -> usize {
        self.descriptors.connection_count()
    }

    /// Selects or opens a connection; `None` if the engine is unknown or the connection limits are reached.
    pub fn select<H: ChannelHandler + 'static>(
        &self,
        handler: &Rc<H>,
        request: &ChannelRequest,
    ) -> Option<Rc<Channel>> {
        let headroom = self.headroom();
        let select = |engine: &mut Engine| self.select_of(handler, engine, request, &headroom);
        self.engines.with_mut(request.engine_id, select).flatten()
    }

    fn headroom(&self) -> Headroom {
        let is_limit_reached = self.descriptors.is_reached();
        let evictable = is_limit_reached.then(|| self.engines.least_recently_used());
        Headroom {
            is_limit_reached,
            evictable: evictable.flatten(),
        }
    }

    fn select_of<H: ChannelHandler + 'static>(
        &self,
        handler: &Rc<H>,
        engine: &mut Engine,
        request: &ChannelRequest,
        headroom: &Headroom,
    ) -> Option<Rc<Channel>> {
        let address = engine.address()?;
        let now_ms = self.clock.now();
        let max_idle_ms = self.reuses.max_idle_ms(now_ms);
        let trusted_idle_ms = if request.side_effect_free {
            self.reuses.trusted_idle_ms(now_ms)
        } else {
            MIN_IDLE_MS
        };
        let max_streams = self.settings.max_streams;
        let best = engine.best_channel(request, now_ms, trusted_idle_ms, max_streams);
        let is_below_engine_limit = self.is_below_engine_limit(engine);
        let may_open = is_below_engine_limit && headroom.allows_another();
        // A lost connection loses every attempt in flight on it: they share one only at a connection limit.
        let channel = match best {
            Some(best) if best.suitability <= Suitability::Fresh || !may_open => best.channel,
            _ if may_open => {
                headroom.evictable.iter().for_each(|idle| idle.retire());
                self.open(handler, engine, address, Descriptor::Granted)
            }
            // It connects once another connection has closed.
            _ if is_below_engine_limit => self.open(handler, engine, address, Descriptor::Queued),
            _ => {
                let engine_id = EngineId(request.engine_id);
                tracing::warn!(%engine_id, "connection limit reached");
                return None;
            }
        };
        // Where idle connections are not trusted, a spare is opened for the next attempt.
        let needs_spare = may_open && !headroom.is_limit_reached && max_idle_ms <= MIN_IDLE_MS;
        if needs_spare && !engine.has_spare_beside(&channel) {
            self.open(handler, engine, address, Descriptor::Granted);
        }
        Some(channel)
    }

    /// Whether the limit of connections to one engine allows for another.
    fn is_below_engine_limit(&self, engine: &Engine) -> bool {
        engine.channels().len() < self.settings.max_connections_per_engine()
    }

    /// Opens `count` connections, or as many as the limits allow.
    pub fn open_up_to<H: ChannelHandler + 'static>(
        &self,
        handler: &Rc<H>,
        engine: &mut Engine,
        address: SocketAddr,
        count: u32,
    ) {
        for _ in 0..count {
            if self.is_below_engine_limit(engine) && !self.descriptors.is_reached() {
                self.open(handler, engine, address, Descriptor::Granted);
            }
        }
    }

    /// Opens a connection and starts its task.
    fn open<H: ChannelHandler + 'static>(
        &self,
        handler: &Rc<H>,
        engine: &mut Engine,
        address: SocketAddr,
        descriptor: Descriptor,
    ) -> Rc<Channel> {
        let opened = &self.registry.counters.engine_connections_opened;
        let id = ConnectionId(opened.get() + 1);
        let now_ms = self.clock.now();
        let channel = Channel::new(id, engine.engine_id(), engine.process(), now_ms);
        let channel = Rc::new(channel);
        match descriptor {
            Descriptor::Granted => self.descriptors.grant(&channel),
            Descriptor::Queued => {
                self.registry.counters.waits_for_descriptor.increment();
                self.descriptors.enqueue(channel.clone());
            }
        }
        engine.add_channel(channel.clone());
        opened.increment();
        let run = task::run(handler.clone(), channel.clone(), address);
        self.executor.spawn(run).detach();
        channel
    }

    /// Closes idle connections in favour of those that wait for a descriptor.
    pub fn evict_for_waiting(&self) {
        for _ in 0..self.descriptors.waiting_count() {
            match self.engines.least_recently_used() {
                Some(idle) => idle.retire(),
                None => return,
            }
        }
    }

    /// Removes a closed connection. Its descriptor is granted to the connection that waits longest.
    pub fn release(&self, channel: &Rc<Channel>) {
        self.engines.remove_channel(channel);
        self.descriptors.release(channel);
    }
}
