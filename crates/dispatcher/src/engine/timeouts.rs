//! What runs out of time on the engine side: attempts, health checks, half frames and idle connections.

use super::channel::Channel;
use super::connection::{CloseReason, Connection, ConnectionState};
use super::keep_alive::MIN_IDLE_MS;
use super::pool::EnginePool;
use super::protocol_error::ProtocolError;
use std::rc::Rc;
use tansymux::events::Outcome;

/// A retired connection that was not used for so long (ms) closes without writing what is left: its engine does not
/// read. Twice the connect timeout that the operators' pages name.
const LAST_WRITE_MS: f64 = 500.0;

/// How long connections may idle at this moment.
struct IdleLimits {
    /// Time (ms) that experience trusts.
    trusted_ms: f64,
    /// Time (ms) that the settings allow.
    allowed_ms: f64,
}

/// A connection that is due for a look.
struct Entry {
    channel: Rc<Channel>,
    /// Of the connections that idle at its engine it was used last. That one may idle on; with every dispatcher
    /// keeping all of its own, an engine would hold too many.
    was_used_last: bool,
}

impl EnginePool {
    /// Cuts the time of all attempts to `deadline_ms`.
    pub fn limit_deadlines(&self, deadline_ms: f64) {
        let engines = self.engines.borrow();
        for channel in engines.values().flat_map(|engine| &engine.channels) {
            channel.connection.borrow_mut().limit_deadlines(deadline_ms);
        }
    }

    /// Ends what has run out of time and closes what idles; when (ms) something will be due next.
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
        for engine_id in unsure_engines {
            self.check_reachability(engine_id);
        }
        next_ms
    }

    /// All connections, as they are before anything is expired.
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
    /// How long (ms) a connection may idle before it is closed. Where no idle time is trusted, one on which nothing
    /// went out yet is the spare for the next attempt.
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

/// Retires a connection that has idled for too long. Whether it is retired, now or before.
fn retire_if_idle(connection: &mut Connection, now_ms: f64, max_idle_ms: f64) -> bool {
    let is_idle = connection.state == ConnectionState::Up && connection.in_flight() == 0;
    let unused_ms = now_ms - connection.last_used_ms;
    connection.retired |= is_idle && unused_ms > max_idle_ms;
    // The abort of the last attempt goes out before the close, if it can.
    if connection.retired && connection.in_flight() == 0 && unused_ms >= LAST_WRITE_MS {
        connection.discard_unwritten();
    }
    connection.retired
}
