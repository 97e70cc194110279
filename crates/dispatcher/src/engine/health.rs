//! Whether engines are reachable: health checks, connect timeouts and what follows from them.

use super::channel::Channel;
use super::connection::{CloseReason, ConnectionState, IdleReuse};
use super::keep_alive::ReuseOutcome;
use super::pool::{EnginePool, SuspectedReuse};
use super::settings::MIN_SILENCE_MS;
use crate::query_registry::Event;
use std::rc::Rc;
use tansymux::events::Outcome;

/// Consecutive connect timeouts after which an engine counts as unreachable. A single one may be chance.
const UNREACHABLE_AFTER_LATE_CONNECTS: u32 = 2;

/// A reuse that was given up in silence counts as lost if its engine is heard on another connection within this time (ms).
const SUSPICION_MS: f64 = 2000.0;

/// Which idle connections are suspected along with a silent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SilenceScope {
    /// Those of the engine itself.
    Engine,
    /// Those of all engines of its zone.
    Zone,
}

impl EnginePool {
    /// Sends a health check to an engine.
    pub(super) fn check_health(self: &Rc<Self>, engine_id: u64) {
        let now_ms = self.clock.now();
        let number = self.health_checks.get() + 1;
        self.health_checks.set(number);
        let tag: Rc<str> = format!("t{number}").into();
        let Some(channel) = self.select_channel(engine_id, &tag, true) else {
            return self.report_health(engine_id, Outcome::NoConnection, 1);
        };
        let deadline_ms = now_ms + self.settings.connect_timeout_ms;
        channel
            .connection
            .borrow_mut()
            .check_health(tag, now_ms, deadline_ms);
        channel.notify.notify();
    }

    /// Reports the same outcome for `count` health checks of an engine.
    pub(super) fn report_health(&self, engine_id: u64, outcome: Outcome, count: usize) {
        for _ in 0..count {
            self.registry
                .push_event(Event::HealthCheckEnded { engine_id, outcome });
        }
    }

    /// Opens connections to find out whether the engine is reachable, unless a connect is under way: as many as must
    /// time out for it to count as unreachable.
    pub(super) fn check_reachability(self: &Rc<Self>, engine_id: u64) {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(&engine_id) else {
            return;
        };
        let is_connecting = |channel: &Rc<Channel>| {
            channel.connection.borrow().state == ConnectionState::Connecting
        };
        if engine.channels.iter().any(is_connecting) {
            return;
        }
        let Some(address) = engine.address else {
            return;
        };
        let count = UNREACHABLE_AFTER_LATE_CONNECTS.saturating_sub(engine.late_connects);
        self.open_channels(engine, address, count);
    }

    /// Handles a connect timeout: attempts and health checks queued on the connection fail as never sent. The connect
    /// goes on; if it succeeds later, new attempts may use the connection.
    pub(super) fn on_connect_timeout(self: &Rc<Self>, channel: &Rc<Channel>) {
        self.registry.counters.connect_timeouts.increment();
        let engine_id = channel.engine_id;
        let mut connection = channel.connection.borrow_mut();
        let waiting: Vec<Rc<str>> = connection.attempts.keys().cloned().collect();
        let health_checks = connection.on_connect_timeout();
        drop(connection);
        if !waiting.is_empty() {
            let engine_id = format_args!("{engine_id:08x}");
            tracing::warn!(%engine_id, pending_attempts = waiting.len(), "connect timeout");
        }
        for id in &waiting {
            self.abandon(channel, id, Outcome::NoConnection);
        }
        self.report_health(engine_id, Outcome::NoConnection, health_checks);
        let Some(late_connects) = self.count_late_connect(engine_id) else {
            return;
        };
        if late_connects >= UNREACHABLE_AFTER_LATE_CONNECTS {
            self.on_unreachable(engine_id);
        } else if self.has_reuse_in_silence(engine_id) {
            self.check_reachability(engine_id);
        }
    }

    fn count_late_connect(&self, engine_id: u64) -> Option<u32> {
        let mut engines = self.engines.borrow_mut();
        let engine = engines.get_mut(&engine_id)?;
        engine.late_connects += 1;
        Some(engine.late_connects)
    }

    /// Whether any connection to the engine was reused after idling and has been silent since.
    fn has_reuse_in_silence(&self, engine_id: u64) -> bool {
        let engines = self.engines.borrow();
        let Some(engine) = engines.get(&engine_id) else {
            return false;
        };
        let mut channels = engine.channels.iter();
        channels.any(|channel| channel.connection.borrow().is_reused_in_silence())
    }

    /// Handles a connection that was reused after idling and given up without any sign from it. If its engine is heard on
    /// another connection, before or soon, this one was lost: the engine, or something on the way, had forgotten it.
    pub(super) fn on_silent_reuse(&self, engine_id: u64, reuse: IdleReuse) {
        let now_ms = self.clock.now();
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(&engine_id) else {
            return;
        };
        if engine.last_frame_ms > reuse.sent_ms {
            self.record_silent_loss(engine_id, reuse);
        } else {
            let since_ms = now_ms;
            engine.suspected_reuse = Some(SuspectedReuse { reuse, since_ms });
        }
    }

    /// A frame came from an engine.
    pub(super) fn on_frame(&self, engine_id: u64, now_ms: f64) {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(&engine_id) else {
            return;
        };
        engine.last_frame_ms = now_ms;
        let Some(suspected) = engine.suspected_reuse.take() else {
            return;
        };
        if now_ms - suspected.since_ms < SUSPICION_MS {
            self.record_silent_loss(engine_id, suspected.reuse);
        }
    }

    fn record_silent_loss(&self, engine_id: u64, reuse: IdleReuse) {
        let engine_id = format_args!("{engine_id:08x}");
        tracing::warn!(%engine_id, idle_ms = reuse.idle_ms, "idle connection lost in silence");
        self.registry.counters.idle_connections_lost.increment();
        let mut keep_alive = self.keep_alive.borrow_mut();
        keep_alive.record(self.clock.now(), reuse.idle_ms, ReuseOutcome::LostInSilence);
    }

    /// A connection to an engine came up. Where connections were lost in silence before, one that was reused after idling
    /// and has been silent since is taken for lost as well: the engine is there.
    pub(super) fn on_reachable(&self, engine_id: u64) {
        if !self.keep_alive.borrow().has_silent_losses() {
            return;
        }
        let now_ms = self.clock.now();
        let channels = match self.engines.borrow().get(&engine_id) {
            Some(engine) => engine.channels.clone(),
            None => return,
        };
        for channel in &channels {
            let mut connection = channel.connection.borrow_mut();
            let is_busy = connection.in_flight() > 0;
            let is_lost =
                |reuse: &mut IdleReuse| is_busy && now_ms - reuse.sent_ms > MIN_SILENCE_MS;
            if let Some(reuse) = connection.idle_reuse.take_if(is_lost) {
                connection.close_reason = Some(CloseReason::ForgottenByEngine);
                channel.notify.notify();
                self.record_silent_loss(engine_id, reuse);
            }
        }
    }

    /// Handles an engine that accepts no new connections: connections that were reused after idling and have been
    /// silent since are taken for dead and closed.
    fn on_unreachable(&self, engine_id: u64) {
        self.retire_idle(engine_id, SilenceScope::Zone);
        let engines = self.engines.borrow();
        let Some(engine) = engines.get(&engine_id) else {
            return;
        };
        for channel in &engine.channels {
            let mut connection = channel.connection.borrow_mut();
            if connection.is_reused_in_silence() {
                connection.close_reason = Some(CloseReason::EngineUnreachable);
                channel.notify.notify();
            }
        }
    }

    /// Retires idle connections that may be dead like a silent one of `engine_id`. The next attempts open new
    /// connections and so find out whether the engines are reachable.
    pub(super) fn retire_idle(&self, engine_id: u64, scope: SilenceScope) {
        let engines = self.engines.borrow();
        let Some(silent) = engines.get(&engine_id) else {
            return;
        };
        for (&other_id, engine) in engines.iter() {
            let is_affected = match scope {
                SilenceScope::Engine => other_id == engine_id,
                SilenceScope::Zone => other_id == engine_id || engine.zone == silent.zone,
            };
            if !is_affected {
                continue;
            }
            for channel in &engine.channels {
                let is_idle = channel.connection.borrow().idle_since_ms().is_finite();
                if is_idle {
                    channel.retire();
                }
            }
        }
    }
}
