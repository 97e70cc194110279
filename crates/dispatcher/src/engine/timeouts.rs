//! Expires attempts, health checks, incomplete frames and idle connections.

use super::abandon::Abandoner;
use super::channel::Channel;
use super::connection::{CloseReason, Connection};
use super::engine_table::EngineTable;
use super::idle_reuse::ReuseTracker;
use super::keep_alive::MIN_TRUSTED_IDLE_MS;
use super::protocol_error::ProtocolError;
use super::reports::Reporter;
use crate::clock::Clock;
use std::rc::Rc;
use tansymux::events::Outcome;

/// Limits of the idle time of connections.
struct IdleLimits {
    /// Maximum idle time (ms) by the keep-alive estimate.
    trusted_ms: f64,
    /// Maximum idle time (ms) by the settings.
    allowed_ms: f64,
}

impl IdleLimits {
    /// Idle time (ms) after which a connection is closed. While idle connections are not trusted, an unused one stays
    /// open as the spare for the next attempt.
    fn max_idle_ms(&self, connection: &Connection, is_most_recently_used: bool) -> f64 {
        let keeps_spare = self.trusted_ms <= MIN_TRUSTED_IDLE_MS;
        if connection.is_unused() && keeps_spare {
            self.allowed_ms
        } else if is_most_recently_used {
            self.trusted_ms.min(self.allowed_ms)
        } else {
            MIN_TRUSTED_IDLE_MS
        }
    }
}

/// A connection whose timeouts are examined.
struct ChannelEntry {
    channel: Rc<Channel>,
    /// Whether the connection is the most recently used idle one to its engine. Only that one may idle for longer than
    /// [`MIN_TRUSTED_IDLE_MS`]: if every dispatcher kept all of its idle connections, each engine would hold too many.
    is_most_recently_used: bool,
}

/// The result of [`Timeouts::expire`].
pub(super) struct Expired {
    /// When to call [`Timeouts::expire`] again (ms), not counting the timeouts of idle and retired connections;
    /// infinity if nothing is due later.
    pub next_ms: f64,
    /// Engines whose reachability is to be checked now.
    pub engines_to_check: Vec<u64>,
}

/// Applies the timeouts of attempts, health checks, incomplete frames and idle connections.
pub(super) struct Timeouts {
    clock: Clock,
    /// Maximum idle time (ms) by the settings.
    max_idle_ms: f64,
    engines: Rc<EngineTable>,
    abandoner: Rc<Abandoner>,
    reporter: Rc<Reporter>,
    reuse_tracker: Rc<ReuseTracker>,
}

impl Timeouts {
    /// The timeouts of the connections in `engines`. The settings limit their idle time to `max_idle_ms`.
    pub fn new(
        clock: Clock,
        max_idle_ms: f64,
        engines: Rc<EngineTable>,
        abandoner: Rc<Abandoner>,
        reporter: Rc<Reporter>,
        reuse_tracker: Rc<ReuseTracker>,
    ) -> Self {
        Timeouts {
            clock,
            max_idle_ms,
            engines,
            abandoner,
            reporter,
            reuse_tracker,
        }
    }

    /// Expires attempts, health checks and incomplete frames on all connections, retires connections that have idled
    /// for too long, and publishes the delayed reports that are due.
    pub fn expire(&self) -> Expired {
        let now_ms = self.clock.now();
        let mut expired = Expired {
            next_ms: self.reporter.publish_delayed(now_ms),
            engines_to_check: Vec::new(),
        };
        let idle_limits = IdleLimits {
            trusted_ms: self.reuse_tracker.max_idle_ms(now_ms),
            allowed_ms: self.max_idle_ms,
        };
        for entry in self.channel_entries() {
            self.expire_channel(&entry, &idle_limits, now_ms, &mut expired);
        }
        expired
    }

    /// All connections. The most recently used idle ones are determined before anything expires, as an expiry may
    /// change which connections are idle.
    fn channel_entries(&self) -> Vec<ChannelEntry> {
        let mut channel_entries = Vec::new();
        self.engines.for_each(|engine| {
            let idle_since_ms = engine
                .channels()
                .iter()
                .map(|channel| channel.idle_since_ms());
            let most_recent_ms = idle_since_ms.fold(f64::NEG_INFINITY, f64::max);
            for channel in engine.channels() {
                channel_entries.push(ChannelEntry {
                    is_most_recently_used: channel.idle_since_ms() >= most_recent_ms,
                    channel: channel.clone(),
                });
            }
        });
        channel_entries
    }

    fn expire_channel(
        &self,
        entry: &ChannelEntry,
        idle_limits: &IdleLimits,
        now_ms: f64,
        expired: &mut Expired,
    ) {
        let channel = &entry.channel;
        self.abandoner.abandon_expired(channel, now_ms);
        self.expire_health_checks(channel, now_ms);
        let mut connection = channel.connection.borrow_mut();
        if connection.take_frame_timeout(now_ms) {
            connection.close(CloseReason::Protocol(ProtocolError::StalledFrame));
            channel.notify.notify();
        }
        connection.enforce_last_command_timeout(now_ms);
        if connection.close_reason().is_some() {
            channel.notify.notify();
        }
        if connection.take_due_reachability_check(now_ms) {
            expired.engines_to_check.push(channel.engine_id);
        }
        let max_idle_ms = idle_limits.max_idle_ms(&connection, entry.is_most_recently_used);
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
