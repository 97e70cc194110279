//! Tracks the reuses of idle connections, and learns from their outcomes how long a connection may idle and still be
//! reused.

use super::connection::IdleReuse;
use super::keep_alive::{KeepAlive, ReuseOutcome, MIN_TRUSTED_IDLE_MS};
use crate::clock::Clock;
use crate::ids::EngineId;
use crate::query_registry::QueryRegistry;
use std::cell::RefCell;
use std::rc::Rc;

/// Records the outcomes of reuses, and counts and logs the lost connections.
pub(super) struct ReuseTracker {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    keep_alive: RefCell<KeepAlive>,
}

impl ReuseTracker {
    /// A tracker without outcomes.
    pub fn new(registry: Rc<QueryRegistry>, clock: Clock) -> Self {
        ReuseTracker {
            registry,
            clock,
            keep_alive: RefCell::default(),
        }
    }

    /// Maximum idle time (ms) after which a connection is reused: see [`KeepAlive::max_idle_ms`].
    pub fn max_idle_ms(&self, now_ms: f64) -> f64 {
        self.keep_alive.borrow_mut().max_idle_ms(now_ms)
    }

    /// Maximum idle time (ms) after which a connection is reused, reduced while a trial of a longer one is in
    /// progress: see [`KeepAlive::trusted_idle_ms`].
    pub fn trusted_idle_ms(&self, now_ms: f64) -> f64 {
        self.keep_alive.borrow_mut().trusted_idle_ms(now_ms)
    }

    /// Whether connections were lost silently: see [`KeepAlive::has_silent_losses`].
    pub fn has_silent_losses(&self) -> bool {
        self.keep_alive.borrow().has_silent_losses()
    }

    /// Records that an idle connection is reused.
    pub fn begin(&self, now_ms: f64, reuse: IdleReuse) {
        let mut keep_alive = self.keep_alive.borrow_mut();
        keep_alive.begin_reuse(now_ms, reuse.idle_ms);
    }

    /// Records that the engine answered on a reused connection.
    pub fn record_answered(&self, now_ms: f64, reuse: IdleReuse) {
        self.record(now_ms, reuse, ReuseOutcome::Answered);
    }

    /// Handles a reused connection that closed before any answer. If it closed within [`MIN_TRUSTED_IDLE_MS`] of the
    /// reuse, it is recorded as lost: the engine or a middlebox had already closed it, which is no evidence about the
    /// engine's health. Returns whether it was recorded.
    pub fn record_if_lost(&self, now_ms: f64, reuse: IdleReuse) -> bool {
        if now_ms - reuse.sent_ms >= MIN_TRUSTED_IDLE_MS {
            return false;
        }
        self.record(now_ms, reuse, ReuseOutcome::Lost);
        self.registry.counters.idle_connections_lost.increment();
        true
    }

    /// Records that a reused connection received no frame while its engine sent frames on another connection.
    pub fn record_silent_loss(&self, engine_id: u64, reuse: IdleReuse) {
        let engine_id = EngineId(engine_id);
        tracing::warn!(%engine_id, idle_ms = reuse.idle_ms, "idle connection lost silently");
        self.registry.counters.idle_connections_lost.increment();
        self.record(self.clock.now(), reuse, ReuseOutcome::LostSilently);
    }

    fn record(&self, now_ms: f64, reuse: IdleReuse, outcome: ReuseOutcome) {
        let mut keep_alive = self.keep_alive.borrow_mut();
        keep_alive.record(now_ms, reuse.idle_ms, outcome);
    }
}
