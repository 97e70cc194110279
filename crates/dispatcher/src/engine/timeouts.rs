//! Expires attempts, health checks, incomplete frames and idle connections.

use super::abandon::Abandoner;
use super::channel::Channel;
use super::connection::{CloseReason, Connection};
use super::engine_table::EngineTable;
use super::idle_reuse::ReuseTracker;
use super::keep_alive::MIN_IDLE_MS;
use super::protocol_error::ProtocolError;
use super::reports::Reporter;
use crate::clock::Clock;
use std::rc::Rc;
use tansymux::events::Outcome;

/// How long connections may currently idle.
struct IdleLimits {
    /// Idle time (ms) that the keep-alive estimate trusts.
    trusted_ms: f64,
    /// Idle time (ms) that the settings allow.
    allowed_ms: f64,
}

impl IdleLimits {
    /// How long (ms) a connection may idle before it is closed. Where idle connections are not trusted, an unused one
    /// stays open as the spare for the next attempt.
    fn limit(&self, connection: &Connection, was_used_last: bool) -> f64 {
        let keeps_spare = self.trusted_ms <= MIN_IDLE_MS;
        if connection.is_unused() && keeps_spare {
            self.allowed_ms
        } else if was_used_last {
            self.trusted_ms.min(self.allowed_ms)
        } else {
            MIN_IDLE_MS
        }
    }
}

/// A connection to examine.
struct Entry {
    channel: Rc<Channel>,
    /// Whether it is the most recently used idle connection to its engine. Only that one may idle for longer: if every
    /// dispatcher kept all of its own, each engine would hold too many.
    was_used_last: bool,
}

/// The result of an expiry.
pub(super) struct Expired {
    /// When to expire again (ms), or infinity.
    pub next_ms: f64,
    /// Engines whose reachability is due to be checked.
    pub unsure_engines: Vec<u64>,
}

/// Expires what is due.
pub(super) struct Timeouts {
    clock: Clock,
    /// Idle time (ms) that the settings allow.
    max_idle_ms: f64,
    engines: Rc<EngineTable>,
    abandoner: Rc<Abandoner>,
    reporter: Rc<Reporter>,
    reuses: Rc<ReuseTracker>,
}

impl Timeouts {
    /// Timeouts of the connections in `engines`, which may idle for `max_idle_ms` by the settings.
    pub fn new(
        clock: Clock,
        max_idle_ms: f64,
        engines: Rc<EngineTable>,
        abandoner: Rc<Abandoner>,
        reporter: Rc<Reporter>,
        reuses: Rc<ReuseTracker>,
    ) -> Self {
        Timeouts {
            clock,
            max_idle_ms,
            engines,
            abandoner,
            reporter,
            reuses,
        }
    }

    /// Expires what is due on all connections, and retires those that have idled for too long.
    pub fn expire(&self) -> Expired {
        let now_ms = self.clock.now();
        let mut expired = Expired {
            next_ms: self.reporter.publish_settled(now_ms),
            unsure_engines: Vec::new(),
        };
        let idle_limits = IdleLimits {
            trusted_ms: self.reuses.max_idle_ms(now_ms),
            allowed_ms: self.max_idle_ms,
        };
        for entry in self.entries() {
            self.expire_channel(&entry, &idle_limits, now_ms, &mut expired);
        }
        expired
    }

    /// All connections; which one was used last is determined before anything expires.
    fn entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        self.engines.for_each(|engine| {
            let idle_times = engine
                .channels()
                .iter()
                .map(|channel| channel.idle_since_ms());
            let last_ms = idle_times.fold(f64::NEG_INFINITY, f64::max);
            for channel in engine.channels() {
                entries.push(Entry {
                    was_used_last: channel.idle_since_ms() >= last_ms,
                    channel: channel.clone(),
                });
            }
        });
        entries
    }

    fn expire_channel(
        &self,
        entry: &Entry,
        idle_limits: &IdleLimits,
        now_ms: f64,
        expired: &mut Expired,
    ) {
        let channel = &entry.channel;
        self.abandoner.abandon_expired(channel, now_ms);
        self.expire_health_checks(channel, now_ms);
        let mut connection = channel.connection.borrow_mut();
        if connection.take_stalled_frame(now_ms) {
            connection.close(CloseReason::Protocol(ProtocolError::StalledFrame));
            channel.notify.notify();
        }
        connection.expire_last_command(now_ms);
        if connection.close_reason().is_some() {
            channel.notify.notify();
        }
        if connection.take_due_reachability_check(now_ms) {
            expired.unsure_engines.push(channel.engine_id);
        }
        let max_idle_ms = idle_limits.limit(&connection, entry.was_used_last);
        if connection.retire_if_idle(now_ms, max_idle_ms) {
            channel.notify.notify();
        }
        expired.next_ms = expired.next_ms.min(connection.next_deadline_ms(now_ms));
    }

    fn expire_health_checks(&self, channel: &Channel, now_ms: f64) {
        let mut connection = channel.connection.borrow_mut();
        let expired = connection.expire_health_checks(now_ms);
        if expired.connection_silent {
            connection.retire();
        }
        self.reporter
            .report_failed_checks(channel, Outcome::Timeout, expired.count);
    }
}
