//! An engine: its entry in the endpoint list, this dispatcher's attempts in flight on it, and the health, limit and
//! slowdowns that the dispatcher learned.

use crate::events::{EndpointState, EndpointUpdate};
use crate::interner::Interner;
use crate::model::concurrency_limit::ConcurrencyLimit;
use crate::model::engine_health::EngineHealth;
use crate::model::engine_load::EngineLoad;
use crate::model::slow_start::WarmUpState;
use crate::model::stalls::StallLevels;
use crate::model::{LaneSlowdowns, LONG_AGO};
use crate::settings::Settings;

/// An engine, as one dispatcher knows it.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) engine_id: u64,
    /// Index of the engine's kind.
    pub(crate) kind: u32,
    /// Index of the engine's zone.
    pub(crate) zone: u32,
    /// Number of the engine's cell.
    pub(crate) cell: u32,
    pub(crate) cores: f64,
    pub(crate) memory_mb: f64,
    pub(crate) endpoint: EndpointStatus,
    pub(crate) load: EngineLoad,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) health: EngineHealth,
    pub(crate) warm_up: WarmUpState,
    pub(crate) slowdown: LaneSlowdowns,
    pub(crate) stalls: StallLevels,
}

/// The state of an engine in the endpoint list.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointStatus {
    /// The engine is in the list.
    pub(crate) listed: bool,
    /// The engine accepts new queries.
    pub(crate) ready: bool,
    /// When the engine's process started (ms); [`LONG_AGO`] if that is unknown.
    pub(crate) started_ms: f64,
}

impl Engine {
    /// An engine on its first appearance in the endpoint list; [`apply_update`](Self::apply_update) sets its state.
    pub(crate) fn new(
        update: &EndpointUpdate,
        settings: &Settings,
        interner: &mut Interner,
    ) -> Self {
        let kind = settings.engine_kind(update.kind);
        Engine {
            engine_id: update.engine_id,
            kind: interner.kinds.index_listed(update.kind),
            zone: interner.zones.index_listed(update.zone),
            cell: update.cell,
            cores: kind.cores,
            memory_mb: kind.memory_mb,
            endpoint: EndpointStatus {
                listed: false,
                ready: false,
                started_ms: update.started_ms.unwrap_or(LONG_AGO),
            },
            load: EngineLoad::default(),
            limit: ConcurrencyLimit::new(kind.cores),
            health: EngineHealth::default(),
            warm_up: WarmUpState::default(),
            slowdown: LaneSlowdowns::default(),
            stalls: StallLevels::default(),
        }
    }

    /// Applies an entry of the endpoint list. A later start time means that a new process has taken the engine's place.
    pub(crate) fn apply_update(&mut self, update: &EndpointUpdate) {
        self.endpoint.listed = update.state != EndpointState::Gone;
        self.endpoint.ready = update.state == EndpointState::Ready;
        if let Some(started_ms) = update.started_ms {
            if started_ms > self.endpoint.started_ms {
                self.endpoint.started_ms = started_ms;
                self.reset_process();
            }
        }
    }

    /// Discards the error rate, ejection, concurrency limit and slowdowns learned from the engine's previous process.
    fn reset_process(&mut self) {
        self.health.reset_process();
        self.limit.reset_process(self.cores);
        self.slowdown = LaneSlowdowns::default();
    }

    /// Number of low-lane threads that this dispatcher may still add without exceeding a limit of `max_threads`;
    /// negative above the limit.
    pub(crate) fn headroom(&self, max_threads: f64) -> f64 {
        max_threads - self.load.low_threads() - self.load.peer_threads()
    }

    /// Work per core (ms) with `added_ms` of work added; each thread of another dispatcher counts as `peer_thread_ms`.
    pub(crate) fn work_per_core_ms(&self, added_ms: f64, peer_thread_ms: f64) -> f64 {
        let peer_work_ms = self.load.peer_threads() * peer_thread_ms;
        (self.load.work_ms() + peer_work_ms + added_ms) / self.cores
    }

    /// Time without a signal while attempts were in flight (ms); 0 if none is in flight.
    pub(crate) fn silent_for_ms(&self, now_ms: f64) -> f64 {
        let Some(busy_since_ms) = self.load.busy_since_ms() else {
            return 0.0;
        };
        now_ms - self.health.last_signal_ms().max(busy_since_ms)
    }
}
