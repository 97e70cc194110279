//! The pool of all engines: combines the components of the engine side, and implements the operations that need several
//! of them.
//!
//! - [`EngineTable`] owns the engines and their connections.
//! - [`ChannelAllocator`] opens connections and allocates them to attempts.
//! - [`ReuseTracker`] estimates how long a connection may idle and still be reused.
//! - [`SilenceDetector`] detects connections that are lost without a reset.
//! - [`RequestGate`] begins attempts; [`Abandoner`], [`Timeouts`] and [`CloseHandler`] end them.
//! - [`Reporter`] reports the outcomes.

mod channel_events;
mod commands;
mod reachability;

use super::abandon::Abandoner;
use super::allocation::ChannelAllocator;
use super::begin::RequestGate;
use super::close::CloseHandler;
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

/// Size (bytes) of the shared read buffer: the maximum that one read takes from a connection.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// All engines with their connections.
pub struct EnginePool {
    registry: Rc<QueryRegistry>,
    pub(super) clock: Clock,
    settings: ConnectionSettings,
    engines: Rc<EngineTable>,
    reuse_tracker: Rc<ReuseTracker>,
    silence_detector: Rc<SilenceDetector>,
    reporter: Rc<Reporter>,
    abandoner: Rc<Abandoner>,
    gate: RequestGate,
    timeouts: Timeouts,
    close_handler: CloseHandler,
    allocator: ChannelAllocator,
    /// Number of health checks sent so far. Each check's tag contains its number.
    health_checks_sent: Cell<u64>,
    /// Read buffer shared by all connections, so that idle connections hold no memory for reading.
    read_buffer: RefCell<Vec<u8>>,
}

/// The components that other components of the pool depend on.
struct SharedComponents {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    settings: ConnectionSettings,
    engines: Rc<EngineTable>,
    reuse_tracker: Rc<ReuseTracker>,
    silence_detector: Rc<SilenceDetector>,
    reporter: Rc<Reporter>,
    abandoner: Rc<Abandoner>,
}

impl SharedComponents {
    fn new(registry: Rc<QueryRegistry>, clock: Clock, settings: ConnectionSettings) -> Self {
        let engines = Rc::new(EngineTable::default());
        let reuse_tracker = Rc::new(ReuseTracker::new(registry.clone(), clock));
        let silence_detector = SilenceDetector::new(engines.clone(), reuse_tracker.clone(), clock);
        let silence_detector = Rc::new(silence_detector);
        let reporter = Rc::new(Reporter::new(registry.clone(), clock, engines.clone()));
        let abandoner = Abandoner::new(
            clock,
            settings.max_silence_ms(),
            reporter.clone(),
            silence_detector.clone(),
        );
        SharedComponents {
            registry,
            clock,
            settings,
            engines,
            reuse_tracker,
            silence_detector,
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
            self.reuse_tracker.clone(),
        )
    }

    fn close_handler(&self) -> CloseHandler {
        CloseHandler::new(
            self.registry.clone(),
            self.clock,
            self.reporter.clone(),
            self.reuse_tracker.clone(),
        )
    }

    fn allocator(&self, executor: Rc<LocalExecutor<'static>>) -> ChannelAllocator {
        ChannelAllocator::new(
            self.registry.clone(),
            self.clock,
            executor,
            self.settings,
            self.engines.clone(),
            self.reuse_tracker.clone(),
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
        let components = SharedComponents::new(registry, clock, settings);
        Rc::new(EnginePool {
            gate: components.gate(),
            timeouts: components.timeouts(),
            close_handler: components.close_handler(),
            allocator: components.allocator(executor),
            health_checks_sent: Cell::default(),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            registry: components.registry,
            clock: components.clock,
            settings: components.settings,
            engines: components.engines,
            reuse_tracker: components.reuse_tracker,
            silence_detector: components.silence_detector,
            reporter: components.reporter,
            abandoner: components.abandoner,
        })
    }

    /// Applies an entry of the endpoint list. Retires the connections to an engine that is gone, moved or restarted.
    ///
    /// Withdraws attempts that are still queued on these connections, or on those to a draining engine. Otherwise they
    /// could be sent after the grace period, or to another engine that now has the same address.
    pub fn upsert_endpoint(&self, entry: &EndpointEntry) {
        let update = self.engines.upsert(entry);
        let is_replaced = update.process_change == ProcessChange::Replaced;
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

    /// Limits the deadlines of all attempts to at most `deadline_ms`.
    pub fn limit_deadlines(&self, deadline_ms: f64) {
        self.engines.for_each(|engine| {
            for channel in engine.channels() {
                channel.connection.borrow_mut().limit_deadlines(deadline_ms);
            }
        });
        self.reporter.limit_deadlines(deadline_ms);
    }

    /// Expires attempts, health checks and incomplete frames that are due, and closes idle connections. Returns the
    /// time (ms) at which to call this method again; infinity if nothing is due later. That time does not include the
    /// timeouts of idle and retired connections: the dispatcher calls this method at least every `MAX_SLEEP_MS`.
    pub fn expire(self: &Rc<Self>) -> f64 {
        let expired = self.timeouts.expire();
        self.allocator.retire_idle_for_waiting();
        for engine_id in expired.engines_to_check {
            self.check_reachability(engine_id);
        }
        expired.next_ms
    }
}
