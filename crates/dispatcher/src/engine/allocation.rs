//! Allocation of connections: selects a connection for each attempt, and opens new connections within the limits.

mod descriptor_limit;

use super::channel::handler::ChannelHandler;
use super::channel::task;
use super::channel::Channel;
use super::channel_request::ChannelRequest;
use super::connection::Suitability;
use super::engine_entry::Engine;
use super::engine_table::EngineTable;
use super::idle_reuse::ReuseTracker;
use super::keep_alive::MIN_TRUSTED_IDLE_MS;
use super::settings::ConnectionSettings;
use crate::clock::Clock;
use crate::ids::{ConnectionId, EngineId};
use crate::query_registry::QueryRegistry;
use async_executor::LocalExecutor;
use descriptor_limit::DescriptorLimit;
use std::net::SocketAddr;
use std::rc::Rc;

/// Whether the limit of connections to all engines together allows a new one.
struct Headroom {
    is_limit_reached: bool,
    /// The idle connection that would be closed in favour of a new one, if the limit is reached and there is one.
    evictable: Option<Rc<Channel>>,
}

impl Headroom {
    fn allows_new_connection(&self) -> bool {
        !self.is_limit_reached || self.evictable.is_some()
    }
}

/// When a new connection is granted its file descriptor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DescriptorGrant {
    /// As soon as it is opened.
    Immediate,
    /// When [`ChannelAllocator::release`] passes on the descriptor of a closed connection.
    Queued,
}

/// Opens connections and allocates them to attempts.
pub(super) struct ChannelAllocator {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    settings: ConnectionSettings,
    engines: Rc<EngineTable>,
    reuse_tracker: Rc<ReuseTracker>,
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
        reuse_tracker: Rc<ReuseTracker>,
    ) -> Self {
        ChannelAllocator {
            registry,
            clock,
            executor,
            settings,
            engines,
            reuse_tracker,
            descriptors: DescriptorLimit::new(settings.max_connections),
        }
    }

    /// Number of connections that are open or connecting.
    pub fn connection_count(&self) -> usize {
        self.descriptors.connection_count()
    }

    /// Selects or opens a connection; `None` if the engine is unknown or has no address, or if the limit of
    /// connections to it is reached and none of them accepts the request.
    pub fn select<H: ChannelHandler + 'static>(
        &self,
        handler: &Rc<H>,
        request: &ChannelRequest,
    ) -> Option<Rc<Channel>> {
        let headroom = self.headroom();
        let select =
            |engine: &mut Engine| self.select_for_engine(handler, engine, request, &headroom);
        self.engines.with_mut(request.engine_id, select).flatten()
    }

    fn headroom(&self) -> Headroom {
        let is_limit_reached = self.descriptors.is_reached();
        let evictable = is_limit_reached.then(|| self.engines.least_recently_used_idle());
        Headroom {
            is_limit_reached,
            evictable: evictable.flatten(),
        }
    }

    fn select_for_engine<H: ChannelHandler + 'static>(
        &self,
        handler: &Rc<H>,
        engine: &mut Engine,
        request: &ChannelRequest,
        headroom: &Headroom,
    ) -> Option<Rc<Channel>> {
        let address = engine.address()?;
        let now_ms = self.clock.now();
        let max_idle_ms = self.reuse_tracker.max_idle_ms(now_ms);
        let trusted_idle_ms = if request.side_effect_free {
            self.reuse_tracker.trusted_idle_ms(now_ms)
        } else {
            MIN_TRUSTED_IDLE_MS
        };
        let max_streams = self.settings.max_streams;
        let best = engine.best_channel(request, now_ms, trusted_idle_ms, max_streams);
        let is_below_engine_limit = self.is_below_engine_limit(engine);
        let may_open = is_below_engine_limit && headroom.allows_new_connection();
        // Attempts share a connection only at a connection limit: the loss of a connection loses every attempt on it.
        let channel = match best {
            Some(best) if best.suitability <= Suitability::Unused || !may_open => best.channel,
            _ if may_open => {
                headroom.evictable.iter().for_each(|idle| idle.retire());
                self.open(handler, engine, address, DescriptorGrant::Immediate)
            }
            // The new connection connects after another one has closed.
            _ if is_below_engine_limit => {
                self.open(handler, engine, address, DescriptorGrant::Queued)
            }
            _ => {
                let engine_id = EngineId(request.engine_id);
                tracing::warn!(%engine_id, "limit of connections to this engine reached");
                return None;
            }
        };
        // While idle connections are not trusted, a spare connection is opened for the next attempt.
        let needs_spare =
            may_open && !headroom.is_limit_reached && max_idle_ms <= MIN_TRUSTED_IDLE_MS;
        if needs_spare && !engine.has_spare_other_than(&channel) {
            self.open(handler, engine, address, DescriptorGrant::Immediate);
        }
        Some(channel)
    }

    /// Whether the limit of connections to one engine allows a new one.
    fn is_below_engine_limit(&self, engine: &Engine) -> bool {
        engine.channels().len() < self.settings.max_connections_per_engine()
    }

    /// Opens up to `count` connections, as far as the limits allow.
    pub fn open_up_to<H: ChannelHandler + 'static>(
        &self,
        handler: &Rc<H>,
        engine: &mut Engine,
        address: SocketAddr,
        count: u32,
    ) {
        for _ in 0..count {
            if self.is_below_engine_limit(engine) && !self.descriptors.is_reached() {
                self.open(handler, engine, address, DescriptorGrant::Immediate);
            }
        }
    }

    /// Opens a connection and starts its task.
    fn open<H: ChannelHandler + 'static>(
        &self,
        handler: &Rc<H>,
        engine: &mut Engine,
        address: SocketAddr,
        grant: DescriptorGrant,
    ) -> Rc<Channel> {
        let opened = &self.registry.counters.engine_connections_opened;
        let id = ConnectionId(opened.get() + 1);
        let now_ms = self.clock.now();
        let channel = Channel::new(id, engine.engine_id(), engine.process(), now_ms);
        let channel = Rc::new(channel);
        match grant {
            DescriptorGrant::Immediate => self.descriptors.grant(&channel),
            DescriptorGrant::Queued => {
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

    /// Retires one idle connection for each connection that waits for a descriptor, the least recently used first.
    pub fn retire_idle_for_waiting(&self) {
        for _ in 0..self.descriptors.waiting_count() {
            match self.engines.least_recently_used_idle() {
                Some(idle) => idle.retire(),
                None => return,
            }
        }
    }

    /// Removes a closed connection, and grants its descriptor to the connection that has waited longest.
    pub fn release(&self, channel: &Rc<Channel>) {
        self.engines.remove_channel(channel);
        self.descriptors.release(channel);
    }
}
