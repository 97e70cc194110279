//! The engine side as one object: composes the owners of its state, and does what needs several of them.
//!
//! Engines and their connections are owned by [`EngineTable`], the opening and allocation of connections by
//! [`ChannelAllocator`], the trust in idle connections by [`ReuseTracker`], silence by [`SilenceDetector`], the reports
//! by [`Reporter`]. [`Abandoner`], [`RequestGate`], [`Timeouts`] and [`Closer`] each own one step of an attempt's life.

mod channel_events;
mod commands;
mod reachability;

use super::abandon::Abandoner;
use super::allocation::ChannelAllocator;
use super::begin::RequestGate;
use super::close::Closer;
use super::engine_entry::ProcessChange;
use super::engine_table::EngineTable;
use super::idle_reuse::ReuseTracker;
use super::reports::Reporter;
use super::settings::ConnectionSettings;
use super::silence::SilenceDetector;
use super::timeouts::Timeouts;
use crate::clock::Clock;
use crate::query_registry::{EndpointEntry, QueryRegistry};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tansymux::events::EndpointState;

/// Size of the shared read buffer (bytes): the most that one read takes from a connection.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// All engines with their connections.
pub struct EnginePool {
    registry: Rc<QueryRegistry>,
    pub(super) clock: Clock,
    settings: ConnectionSettings,
    engines: Rc<EngineTable>,
    reuses: Rc<ReuseTracker>,
    silence: Rc<SilenceDetector>,
    reporter: Rc<Reporter>,
    abandoner: Rc<Abandoner>,
    gate: RequestGate,
    timeouts: Timeouts,
    closer: Closer,
    allocator: ChannelAllocator,
    /// Health checks sent so far. The number is part of each check's tag.
    health_checks: Cell<u64>,
    /// Read buffer shared by all connections: idle ones hold no memory for reading.
    read_buffer: RefCell<Vec<u8>>,
}

/// The dependencies of the pool's owners.
struct Shared {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    settings: ConnectionSettings,
    engines: Rc<EngineTable>,
    reuses: Rc<ReuseTracker>,
    silence: Rc<SilenceDetector>,
    reporter: Rc<Reporter>,
    abandoner: Rc<Abandoner>,
}

impl Shared {
    fn new(registry: Rc<QueryRegistry>, clock: Clock, settings: ConnectionSettings) -> Self {
        let engines = Rc::new(EngineTable::default());
        let reuses = Rc::new(ReuseTracker::new(registry.clone(), clock));
        let silence = SilenceDetector::new(engines.clone(), reuses.clone(), clock);
        let silence = Rc::new(silence);
        let reporter = Rc::new(Reporter::new(registry.clone(), clock, engines.clone()));
        let abandoner = Abandoner::new(
            clock,
            settings.max_silence_ms(),
            reporter.clone(),
            silence.clone(),
        );
        Shared {
            registry,
            clock,
            settings,
            engines,
            reuses,
            silence,
            reporter,
            abandoner: Rc::new(abandoner),
        }
    }

    fn gate(&self) -> RequestGate {
        RequestGate::new(
            self.registry.clone(),
            self.clock,
            self.engines.clone(),
            self.abandoner.clone(),
        )
    }

    fn timeouts(&self) -> Timeouts {
        Timeouts::new(
            self.clock,
            self.settings.max_idle_ms(),
            self.engines.clone(),
            self.abandoner.clone(),
            self.reporter.clone(),
            self.reuses.clone(),
        )
    }

    fn closer(&self) -> Closer {
        Closer::new(
            self.registry.clone(),
            self.clock,
            self.reporter.clone(),
            self.reuses.clone(),
        )
    }

    fn allocator(&self, executor: Rc<LocalExecutor<'static>>) -> ChannelAllocator {
        ChannelAllocator::new(
            self.registry.clone(),
            self.clock,
            executor,
            self.settings,
            self.engines.clone(),
            self.reuses.clone(),
        )
    }
}

impl EnginePool {
    /// A pool without engines.
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        settings: ConnectionSettings,
    ) -> Rc<Self> {
        let shared = Shared::new(registry, clock, settings);
        Rc::new(EnginePool {
            gate: shared.gate(),
            timeouts: shared.timeouts(),
            closer: shared.closer(),
            allocator: shared.allocator(executor),
            health_checks: Cell::default(),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            registry: shared.registry,
            clock: shared.clock,
            settings: shared.settings,
            engines: shared.engines,
            reuses: shared.reuses,
            silence: shared.silence,
            reporter: shared.reporter,
            abandoner: shared.abandoner,
        })
    }

    /// Applies an entry of the endpoint list. Connections to an engine that is gone, moved or restarted are retired.
    /// Queued attempts on them, or on those to a draining engine, are withdrawn: they could be sent after the grace
    /// period, or to another engine that has the same address by now.
    pub fn upsert_endpoint(&self, entry: &EndpointEntry) {
        let update = self.engines.upsert(entry);
        let is_replaced = update.process == ProcessChange::Replaced;
        if is_replaced {
            for channel in &update.channels {
                channel.retire();
            }
        }
        if is_replaced || entry.state == EndpointState::Draining {
            for channel in &update.channels {
                self.abandoner.withdraw_unstarted(channel);
            }
        }
    }

    /// Number of connections that are open or connecting.
    pub fn connection_count(&self) -> usize {
        self.allocator.connection_count()
    }

    /// Moves all later deadlines of attempts forward to `deadline_ms`.
    pub fn limit_deadlines(&self, deadline_ms: f64) {
        self.engines.for_each(|engine| {
            for channel in engine.channels() {
                channel.connection.borrow_mut().limit_deadlines(deadline_ms);
            }
        });
        self.reporter.limit_deadlines(deadline_ms);
    }

    /// Expires what is due and closes idle connections. Returns the time (ms) at which to call it again, or infinity.
    pub fn expire(self: &Rc<Self>) -> f64 {
        let expired = self.timeouts.expire();
        self.allocator.evict_for_waiting();
        for engine_id in expired.unsure_engines {
            self.check_reachability(engine_id);
        }
        expired.next_ms
    }
}
