//! Whether engines are reachable: health checks, and connects that time out.

use super::EnginePool;
use crate::engine::channel::Channel;
use crate::engine::channel_request::ChannelRequest;
use crate::ids::EngineId;
use std::rc::Rc;
use tansymux::events::Outcome;

/// Consecutive connect timeouts after which an engine counts as unreachable. A single one may be due to packet loss.
const UNREACHABLE_AFTER_LATE_CONNECTS: u32 = 2;

impl EnginePool {
    /// Sends a health check to an engine.
    pub(super) fn check_health(self: &Rc<Self>, engine_id: u64) {
        let now_ms = self.clock.now();
        let number = self.health_checks.get() + 1;
        self.health_checks.set(number);
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

    /// Opens connections to find out whether the engine is reachable, unless a connect is under way: as many as must
    /// time out for it to count as unreachable.
    pub(super) fn check_reachability(self: &Rc<Self>, engine_id: u64) {
        self.engines.with_mut(engine_id, |engine| {
            if engine.is_connecting() {
                return;
            }
            let Some(address) = engine.address() else {
                return;
            };
            let count = UNREACHABLE_AFTER_LATE_CONNECTS.saturating_sub(engine.late_connects());
            self.allocator.open_up_to(self, engine, address, count);
        });
    }

    /// Handles a connect timeout: attempts and health checks queued on the connection fail as never sent. The connect
    /// continues. If it succeeds later, new attempts may use the connection.
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
        self.count_late_connect(engine_id);
    }

    /// Counts a connect timeout of an engine. The engine counts as unreachable after
    /// [`UNREACHABLE_AFTER_LATE_CONNECTS`] of them; before that, it is checked again if a reused connection is silent.
    fn count_late_connect(self: &Rc<Self>, engine_id: u64) {
        let late_connects = self.engines.with_mut(engine_id, |engine| {
            engine.record_late_connect();
            engine.late_connects()
        });
        let Some(late_connects) = late_connects else {
            return;
        };
        if late_connects >= UNREACHABLE_AFTER_LATE_CONNECTS {
            self.silence.on_unreachable(engine_id);
        } else if self.has_reuse_in_silence(engine_id) {
            self.check_reachability(engine_id);
        }
    }

    fn has_reuse_in_silence(&self, engine_id: u64) -> bool {
        let has_reuse = self
            .engines
            .with(engine_id, |engine| engine.has_reuse_in_silence());
        has_reuse.unwrap_or(false)
    }
}
