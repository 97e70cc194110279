//! One connection to an engine as a state machine: its attempts, its health checks and what is still to be written.
//! No I/O, no clock: `channel` moves the bytes and `timeouts` says what time it is.

mod attempt;
mod deadlines;
mod outbox;
mod receive;

pub use attempt::Attempt;
pub use receive::FrameEvent;

use super::protocol_error::ProtocolError;
use outbox::{Outbox, Withdrawal};
use rustc_hash::{FxHashMap, FxHashSet};
use std::io::IoSlice;
use std::rc::Rc;
use thiserror::Error;

/// Bytes that may wait to be written before a connection takes no further attempt.
pub const MAX_OUTBOX_BYTES: usize = 4 << 20;
/// Attempts that may be abandoned on one connection before another takes its place: each leaves its id in memory.
const MAX_ABANDONED: usize = 256;

/// Where a connection is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connect is under way, within its timeout.
    Connecting,
    /// The connect timed out: nothing waits for it, and it may still come up.
    Late,
    /// Connected.
    Up,
    /// Ended.
    Closed,
}

/// How well a connection suits one more attempt; the first are taken first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// Nothing is out, and it idled for less than the trusted time.
    Proven,
    /// Nothing ever went out here.
    Fresh,
    /// Other attempts are out.
    Shared,
    /// Nothing is out, and it idled for longer than is trusted: its other end may be closing.
    Stale,
}

/// Why a connection is closed from this side, whatever is out on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CloseReason {
    /// What the engine sent can't be used.
    #[error("protocol error: {0}")]
    Protocol(#[from] ProtocolError),
    /// A request was withdrawn after some of its bytes had gone out; ending the connection keeps it from becoming whole.
    #[error("a request was given up half written")]
    RequestPartlyWritten,
    /// Nothing came on it, and no other connection to the engine comes up.
    #[error("no other connection comes up")]
    EngineUnreachable,
}

/// A health check that is out. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct HealthCheck {
    /// The tag by which its answer is known.
    pub tag: Rc<str>,
    /// When it was handed to the connection.
    pub sent_ms: f64,
    /// When it has failed.
    pub deadline_ms: f64,
}

/// An attempt that went out on a connection that had idled.
#[derive(Debug, Clone, Copy)]
pub struct IdleReuse {
    /// How long (ms) the connection had idled.
    pub idle_ms: f64,
    /// When the attempt went out (ms).
    pub sent_ms: f64,
}

/// An attempt that was abandoned from here.
#[derive(Debug)]
pub struct Abandoned {
    /// The attempt.
    pub attempt: Attempt,
    /// Whether all of its request had gone out, so that it may have run.
    pub was_sent: bool,
}

/// A connection to an engine. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct Connection {
    /// Where it is in its life.
    pub state: ConnectionState,
    /// When a frame last came; minus infinity if none has.
    pub last_frame_ms: f64,
    /// When it last had something out, or came up.
    pub last_used_ms: f64,
    /// Nothing ever went out here.
    pub unused: bool,
    /// The last attempt that went out after an idle time, until anything is received.
    pub idle_reuse: Option<IdleReuse>,
    /// Since when a frame has begun to come and is not whole.
    pub partial_frame_since_ms: Option<f64>,
    /// When the engine is checked over another connection, if nothing came since an attempt went out after an idle time.
    pub check_at_ms: f64,
    /// Why it is to be closed at once.
    pub close_reason: Option<CloseReason>,
    /// Takes nothing new, and is closed once nothing is out.
    pub retired: bool,
    /// Attempts that are out here, by the ids of their queries.
    pub attempts: FxHashMap<Rc<str>, Attempt>,
    /// Ids that were abandoned here after they had gone out: a late answer to one of them would be taken for that of a
    /// later attempt with the same id.
    abandoned_ids: FxHashSet<Rc<str>>,
    /// Health checks that are out here.
    pub health_checks: Vec<HealthCheck>,
    outbox: Outbox,
}

impl Connection {
    /// A connection whose connect begins.
    pub fn new(now_ms: f64) -> Self {
        Connection {
            state: ConnectionState::Connecting,
            last_frame_ms: f64::NEG_INFINITY,
            last_used_ms: now_ms,
            unused: true,
            idle_reuse: None,
            partial_frame_since_ms: None,
            check_at_ms: f64::INFINITY,
            close_reason: None,
            retired: false,
            attempts: FxHashMap::default(),
            abandoned_ids: FxHashSet::default(),
            health_checks: Vec::new(),
            outbox: Outbox::default(),
        }
    }

    // ---- Transitions ----

    /// The connect timed out. Health checks that wait for it are dropped; their number.
    pub fn on_connect_timeout(&mut self) -> usize {
        self.state = ConnectionState::Late;
        let dropped = std::mem::take(&mut self.health_checks).len();
        self.outbox.discard_commands();
        dropped
    }

    /// The connection is there. If nothing waits for it any more, it idles from now on and is as good as new.
    pub fn on_connected(&mut self, now_ms: f64) {
        self.state = ConnectionState::Up;
        self.last_used_ms = now_ms;
        if self.in_flight() == 0 {
            self.unused = true;
            self.idle_reuse = None;
        }
    }

    // ---- What it is good for ----

    /// Attempts and health checks that are out.
    pub fn in_flight(&self) -> usize {
        self.attempts.len() + self.health_checks.len()
    }

    /// Since when (ms) it idles; minus infinity if it is not up, is retired or has something out.
    pub fn idle_since_ms(&self) -> f64 {
        if self.in_flight() == 0 && !self.retired && self.state == ConnectionState::Up {
            self.last_used_ms
        } else {
            f64::NEG_INFINITY
        }
    }

    /// How well it suits one more attempt, where idling for `trusted_idle_ms` does no harm.
    pub fn suitability(&self, now_ms: f64, trusted_idle_ms: f64) -> Suitability {
        if self.in_flight() > 0 {
            Suitability::Shared
        } else if self.unused {
            Suitability::Fresh
        } else if now_ms - self.last_used_ms < trusted_idle_ms {
            Suitability::Proven
        } else {
            Suitability::Stale
        }
    }

    /// Whether an attempt with this id may go here, next to `max_streams` others at most.
    pub fn accepts(&self, id: &str, max_streams: usize) -> bool {
        let open = matches!(
            self.state,
            ConnectionState::Connecting | ConnectionState::Up
        ) && !self.retired;
        let has_room = self.in_flight() < max_streams && self.outbox.bytes() < MAX_OUTBOX_BYTES;
        let id_is_new = !self.attempts.contains_key(id) && !self.abandoned_ids.contains(id);
        open && has_room && id_is_new
    }

    // ---- What goes out ----

    /// Queues an attempt's request.
    pub fn submit(&mut self, id: &Rc<str>, fields: &str, statement: Rc<[u8]>, attempt: Attempt) {
        if self.in_flight() == 0 && !self.unused {
            self.idle_reuse = Some(IdleReuse {
                idle_ms: attempt.sent_ms - self.last_used_ms,
                sent_ms: attempt.sent_ms,
            });
        }
        self.last_used_ms = attempt.sent_ms;
        self.unused = false;
        let elements = [b"fetch", id.as_bytes(), fields.as_bytes()];
        self.outbox.push_request(id, &elements, statement);
        self.attempts.insert(id.clone(), attempt);
    }

    /// Queues a health check.
    pub fn check_health(&mut self, tag: Rc<str>, now_ms: f64, deadline_ms: f64) {
        self.last_used_ms = now_ms;
        self.unused = false;
        self.outbox.push_command(&[b"alive", tag.as_bytes()]);
        self.health_checks.push(HealthCheck {
            tag,
            sent_ms: now_ms,
            deadline_ms,
        });
    }

    /// Queues a new priority for an attempt that is out.
    pub fn set_priority(&mut self, id: &str, priority: u8) {
        if self.attempts.contains_key(id) {
            let priority = priority.to_string();
            self.outbox
                .push_command(&[b"renice", id.as_bytes(), priority.as_bytes()]);
        }
    }

    /// Abandons an attempt. A request that was not begun is taken back; one that was written in part never becomes
    /// whole, as the connection ends with that; one that went out is aborted.
    pub fn abandon(&mut self, id: &str, now_ms: f64) -> Option<Abandoned> {
        let attempt = self.attempts.remove(id)?;
        self.last_used_ms = now_ms;
        let withdrawal = self.outbox.withdraw(id);
        match withdrawal {
            Withdrawal::NotStarted => {}
            Withdrawal::PartlyWritten => {
                self.close_reason = Some(CloseReason::RequestPartlyWritten)
            }
            Withdrawal::Written => {
                self.abandoned_ids.insert(id.into());
                self.retired |= self.abandoned_ids.len() >= MAX_ABANDONED;
                self.outbox.push_command(&[b"abort", id.as_bytes()]);
            }
        }
        Some(Abandoned {
            attempt,
            was_sent: withdrawal == Withdrawal::Written,
        })
    }

    /// The attempts of whose requests nothing was written yet.
    pub fn unstarted_requests(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        self.outbox.unstarted_requests()
    }

    /// Whether the whole of an attempt's request was written.
    pub fn is_fully_written(&self, id: &str) -> bool {
        !self.outbox.holds_request(id)
    }

    /// Whether anything is to be written.
    pub fn has_unwritten(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Drops what is to be written.
    pub fn discard_unwritten(&mut self) {
        self.outbox.clear();
    }

    /// Appends the bytes to write next, as `max` slices at most.
    pub fn slices<'a>(&'a self, out: &mut Vec<IoSlice<'a>>, max: usize) {
        self.outbox.slices(out, max);
    }

    /// So many more bytes were written.
    pub fn advance(&mut self, count: usize) {
        self.outbox.advance(count);
    }
}

#[cfg(test)]
mod tests;
