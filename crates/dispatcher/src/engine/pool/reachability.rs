//! Reachability of engines: health checks, and connects that time out.

use super::EnginePool;
use crate::engine::channel::Channel;
use crate::engine::channel_request::ChannelRequest;
use crate::ids::EngineId;
use std::rc::Rc;
use tansymux::events::Outcome;

/// Number of consecutive connect timeouts after which an engine counts as unreachable. A single timeout may be due to
/// packet loss.
const UNREACHABLE_AFTER_CONNECT_TIMEOUTS: u32 = 2;

impl EnginePool {
    /// Sends a health check to an engine.
    pub(super) fn check_health(self: &Rc<Self>, engine_id: u64) {
        let now_ms = self.clock.now();
        let number = self.health_checks_sent.get() + 1;
        self.health_checks_sent.set(number);
        let tag: Rc<str> = format!("t{number}").into();
        let request = ChannelRequest {
            engine_id,
            id: &tag,
            used_connections: &[],
            side_effect_free: true,
        };
        let Some(channel) = self.allocator.select(self, &request) else {
            let outcome = Outcome::NoConnection;
            return self.reporter.report_health(engine_id, outcome, 1);
        };
        let deadline_ms = now_ms + self.settings.connect_timeout_ms;
        channel
            .connection
            .borrow_mut()
            .check_health(tag, now_ms, deadline_ms);
        channel.notify.notify();
    }

    /// Opens connections to check whether the engine is reachable, unless a connect is in progress. Opens as many as
    /// must time out for the engine to count as unreachable.
    pub(super) fn check_reachability(self: &Rc<Self>, engine_id: u64) {
        self.engines.with_mut(engine_id, |engine| {
            if engine.is_connecting() {
                return;
            }
            let Some(address) = engine.address() else {
                return;
            };
            let count = UNREACHABLE_AFTER_CONNECT_TIMEOUTS
                .saturating_sub(engine.consecutive_connect_timeouts());
            self.allocator.open_up_to(self, engine, address, count);
        });
    }

    /// Handles a connect timeout. Attempts and health checks queued on the connection fail with
    /// [`Outcome::NoConnection`]. The connect continues; if it succeeds later, new attempts may use the connection.
    pub(super) fn handle_connect_timeout(self: &Rc<Self>, channel: &Channel) {
        self.registry.counters.connect_timeouts.increment();
        let engine_id = channel.engine_id;
        let mut connection = channel.connection.borrow_mut();
        let pending: Vec<Rc<str>> = connection.attempt_ids().collect();
        let health_checks = connection.on_connect_timeout();
        drop(connection);
        if !pending.is_empty() {
            let engine_id = EngineId(engine_id);
            tracing::warn!(%engine_id, pending_attempts = pending.len(), "connect timeout");
        }
        for id in &pending {
            self.abandoner.abandon(channel, id, Outcome::NoConnection);
        }
        let outcome = Outcome::NoConnection;
        self.reporter
            .report_failed_checks(channel, outcome, health_checks);
        self.count_connect_timeout(engine_id);
    }

    /// Counts a connect timeout of an engine. After [`UNREACHABLE_AFTER_CONNECT_TIMEOUTS`] consecutive ones the engine
    /// counts as unreachable. Before that, the engine is checked again if a connection has been silent since its reuse.
    fn count_connect_timeout(self: &Rc<Self>, engine_id: u64) {
        let consecutive_connect_timeouts = self.engines.with_mut(engine_id, |engine| {
            engine.record_connect_timeout();
            engine.consecutive_connect_timeouts()
        });
        let Some(consecutive_connect_timeouts) = consecutive_connect_timeouts else {
            return;
        };
        if consecutive_connect_timeouts >= UNREACHABLE_AFTER_CONNECT_TIMEOUTS {
            self.silence_detector.on_unreachable(engine_id);
        } else if self.has_silent_reuse(engine_id) {
            self.check_reachability(engine_id);
        }
    }

    fn has_silent_reuse(&self, engine_id: u64) -> bool {
        let has_silent_reuse = self
            .engines
            .with(engine_id, |engine| engine.has_silent_reuse());
        has_silent_reuse.unwrap_or(false)
    }
}
