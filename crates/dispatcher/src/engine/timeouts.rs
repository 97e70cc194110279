//! Expires attempts, health checks, incomplete frames and idle connections.

use super::channel::Channel;
use super::connection::{CloseReason, Connection, ConnectionState};
use super::keep_alive::MIN_IDLE_MS;
use super::pool::EnginePool;
use super::protocol_error::ProtocolError;
use std::rc::Rc;
use tansymux::events::Outcome;

/// A retired connection unused for this long (ms) is closed without writing the rest of its outbox: its engine does
/// not read. Twice the connect timeout of the operators' pages.
const LAST_WRITE_MS: f64 = 500.0;

/// How long connections may currently idle.
struct IdleLimits {
    /// Idle time (ms) that the keep-alive estimate trusts.
    trusted_ms: f64,
    /// Idle time (ms) that the settings allow.
    allowed_ms: f64,
}

/// A connection to examine.
struct Entry {
    channel: Rc<Channel>,
    /// It is the most recently used idle connection to its engine. Only that one may idle for longer: if every
    /// dispatcher kept all of its own, engines would hold too many.
    was_used_last: bool,
}

impl EnginePool {
    /// Moves all later deadlines of attempts forward to `deadline_ms`.
    pub fn limit_deadlines(&self, deadline_ms: f64) {
        let engines = self.engines.borrow();
        for channel in engines.values().flat_map(|engine| &engine.channels) {
            channel.connection.borrow_mut().limit_deadlines(deadline_ms);
        }
    }

    /// Expires what is due and closes idle connections. Returns the time (ms) at which to call it again, or infinity.
    pub fn expire(self: &Rc<Self>) -> f64 {
        let now_ms = self.clock.now();
        let mut next_ms = self.publish_settled(now_ms);
        let idle_limits = IdleLimits {
            trusted_ms: self.keep_alive.borrow_mut().max_idle_ms(now_ms),
            allowed_ms: self.settings.max_idle_ms(),
        };
        let mut unsure_engines = Vec::new();
        for Entry {
            channel,
            was_used_last,
        } in self.entries()
        {
            self.expire_attempts(&channel, now_ms);
            self.expire_health_checks(&channel, now_ms);
            let mut connection = channel.connection.borrow_mut();
            if connection.take_stalled_frame(now_ms) {
                connection.close_reason = Some(CloseReason::Protocol(ProtocolError::StalledFrame));
                channel.notify.notify();
            }
            if connection.take_due_reachability_check(now_ms) {
                unsure_engines.push(channel.engine_id);
            }
            let max_idle_ms = idle_limits.limit(&connection, was_used_last);
            if retire_if_idle(&mut connection, now_ms, max_idle_ms) {
                channel.notify.notify();
            }
            next_ms = next_ms.min(connection.next_deadline_ms(now_ms));
        }
        self.evict_for_waiting();
        for engine_id in unsure_engines {
            self.check_reachability(engine_id);
        }
        next_ms
    }

    /// All connections; which one was used last is determined before anything expires.
    fn entries(&self) -> Vec<Entry> {
        let idle_since_ms = |channel: &Rc<Channel>| channel.connection.borrow().idle_since_ms();
        let mut entries = Vec::new();
        for engine in self.engines.borrow().values() {
            let idle_times = engine.channels.iter().map(idle_since_ms);
            let last_ms = idle_times.fold(f64::NEG_INFINITY, f64::max);
            for channel in &engine.channels {
                entries.push(Entry {
                    was_used_last: idle_since_ms(channel) >= last_ms,
                    channel: channel.clone(),
                });
            }
        }
        entries
    }

    fn expire_attempts(&self, channel: &Channel, now_ms: f64) {
        let expired = channel.connection.borrow().expired_attempts(now_ms);
        for id in &expired {
            self.abandon(channel, id, Outcome::Timeout);
        }
    }

    fn expire_health_checks(&self, channel: &Channel, now_ms: f64) {
        let mut connection = channel.connection.borrow_mut();
        let expired = connection.expire_health_checks(now_ms);
        connection.retired |= expired.connection_silent;
        self.report_health(channel.engine_id, Outcome::Timeout, expired.count);
    }
}

impl IdleLimits {
    /// How long (ms) a connection may idle before it is closed. If idle connections are not trusted, an unused one is
    /// the spare for the next attempt and is kept.
    fn limit(&self, connection: &Connection, was_used_last: bool) -> f64 {
        let keeps_spare = self.trusted_ms <= MIN_IDLE_MS;
        if connection.unused && keeps_spare {
            self.allowed_ms
        } else if was_used_last {
            self.trusted_ms.min(self.allowed_ms)
        } else {
            MIN_IDLE_MS
        }
    }
}

/// Retires a connection that has idled for too long. Returns whether it is retired, by this call or before.
fn retire_if_idle(connection: &mut Connection, now_ms: f64, max_idle_ms: f64) -> bool {
    let is_idle = connection.state == ConnectionState::Up && connection.in_flight() == 0;
    let unused_ms = now_ms - connection.last_used_ms;
    connection.retired |= is_idle && unused_ms > max_idle_ms;
    // The abort of its last attempt is still written, if the engine reads it.
    if connection.retired && connection.in_flight() == 0 && unused_ms >= LAST_WRITE_MS {
        connection.discard_unwritten();
    }
    connection.retired
}
