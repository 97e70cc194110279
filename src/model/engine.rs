//! An engine: what the endpoint list says of it, what this dispatcher has there, and what it learned of it.

use crate::events::{EndpointState, EndpointUpdate};
use crate::interner::Interner;
use crate::model::engine_health::EngineHealth;
use crate::model::engine_load::{EngineLoad, LaneLimit};
use crate::model::slow_start::WarmUpState;
use crate::model::stalls::StallLevels;
use crate::model::{LaneSlowdowns, LONG_AGO};
use crate::settings::Settings;

/// An engine.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) engine_id: u64,
    pub(crate) kind: u32,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) cores: f64,
    pub(crate) memory_mb: f64,
    pub(crate) endpoint: EndpointStatus,
    pub(crate) load: EngineLoad,
    pub(crate) limit: LaneLimit,
    pub(crate) health: EngineHealth,
    pub(crate) warm_up: WarmUpState,
    pub(crate) slowdown: LaneSlowdowns,
    pub(crate) stalls: StallLevels,
}

/// What the endpoint list says.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointStatus {
    pub(crate) listed: bool,
    pub(crate) ready: bool,
    pub(crate) started_ms: f64,
}

impl Default for EndpointStatus {
    fn default() -> Self {
        EndpointStatus {
            listed: false,
            ready: false,
            started_ms: LONG_AGO,
        }
    }
}

impl Engine {
    pub(crate) fn new(
        update: &EndpointUpdate,
        settings: &Settings,
        interner: &mut Interner,
    ) -> Self {
        let kind = settings.engine_kind(update.kind);
        Engine {
            engine_id: update.engine_id,
            kind: interner.kinds.index(update.kind),
            zone: interner.zones.index(update.zone),
            cell: update.cell,
            cores: kind.cores,
            memory_mb: kind.memory_mb,
            endpoint: EndpointStatus::default(),
            load: EngineLoad::default(),
            limit: LaneLimit::default(),
            health: EngineHealth::default(),
            warm_up: WarmUpState::default(),
            slowdown: LaneSlowdowns::default(),
            stalls: StallLevels::default(),
        }
    }

    /// Takes over the state of a list entry.
    pub(crate) fn set_state(&mut self, state: EndpointState) {
        self.endpoint.listed = state != EndpointState::Gone;
        self.endpoint.ready = state == EndpointState::Ready;
    }

    /// Forgets what was learned of an engine's process: another one has taken its place.
    pub(crate) fn reset_process(&mut self, started_ms: Option<f64>) {
        self.endpoint.started_ms = started_ms.unwrap_or(LONG_AGO);
        self.health.reset_process();
        self.slowdown = LaneSlowdowns::default();
    }

    /// Low threads that this dispatcher may still add, where it may have `max_threads`.
    pub(crate) fn headroom(&self, max_threads: f64) -> f64 {
        max_threads - self.load.low_threads - self.load.peer_threads
    }

    /// Work a core (ms) with `more_ms` added; a thread of another dispatcher weighs `peer_thread_ms`.
    pub(crate) fn work_per_core_ms(&self, more_ms: f64, peer_thread_ms: f64) -> f64 {
        let peer_work_ms = self.load.peer_threads * peer_thread_ms;
        (self.load.work_ms + peer_work_ms + more_ms) / self.cores
    }

    /// How long nothing has been heard while there was something in flight (ms); 0 while there is nothing.
    pub(crate) fn silent_for_ms(&self, now_ms: f64) -> f64 {
        if self.load.attempts == 0 {
            return 0.0;
        }
        now_ms - self.health.last_signal_ms().max(self.load.busy_since_ms)
    }

    /// Low threads known there, of this dispatcher and of others.
    pub(crate) fn known_low_threads(&self) -> f64 {
        self.load.low_threads + self.load.peer_threads
    }
}
