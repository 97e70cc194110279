//! State machine of one connection to an engine: its attempts, its health checks and its outbox. No I/O and no clock:
//! `channel` moves the bytes, and every call that depends on time is given it.

mod attempt;
mod deadlines;
mod outbox;
mod receive;

pub use attempt::Attempt;
pub use receive::FrameEvent;

use super::protocol::{Command, RequestFields};
use super::protocol_error::ProtocolError;
use crate::guard::BeginPermit;
use outbox::{Outbox, Withdrawal};
use rustc_hash::{FxHashMap, FxHashSet};
use std::io::IoSlice;
use std::rc::Rc;
use thiserror::Error;

/// Outbox size (bytes) from which on a connection accepts no attempt; a bound on memory.
pub const MAX_OUTBOX_BYTES: usize = 4 << 20;
/// Abandoned attempts after which a connection is retired: the id of each stays in memory.
const MAX_ABANDONED: usize = 256;

/// Life-cycle state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Connecting, within the connect timeout.
    Connecting,
    /// The connect timed out but goes on. Nothing is queued here.
    Late,
    /// Connected.
    Up,
    /// Closed.
    Closed,
}

/// How suitable a connection is for another attempt, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// Idle for less than the trusted time.
    Proven,
    /// Never used.
    Fresh,
    /// Other attempts are in flight on it.
    Shared,
    /// Idle for longer than is trusted: the other end may have closed it.
    Stale,
}

/// Why this side closes a connection, even with attempts in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CloseReason {
    /// The engine violated the protocol.
    #[error("protocol error: {0}")]
    Protocol(#[from] ProtocolError),
    /// A request was withdrawn after some of its bytes were written. Closing keeps the engine from ever having all of
    /// it.
    #[error("a request was given up half written")]
    RequestPartlyWritten,
    /// It idled and has been silent since it was reused, while its engine accepts connections; others were lost so.
    #[error("silent after idling, as others before")]
    ForgottenByEngine,
    /// It has been silent, and the engine accepts no other connection.
    #[error("no other connection comes up")]
    EngineUnreachable,
}

/// A health check in flight. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct HealthCheck {
    /// The id that the answer repeats.
    pub tag: Rc<str>,
    /// When it was handed to the connection.
    pub sent_ms: f64,
    /// When it counts as failed.
    pub deadline_ms: f64,
}

/// The reuse of a connection after it had idled.
#[derive(Debug, Clone, Copy)]
pub struct IdleReuse {
    /// How long (ms) the connection had idled.
    pub idle_ms: f64,
    /// When the attempt was queued (ms).
    pub sent_ms: f64,
}

/// An attempt that this side abandoned.
#[derive(Debug)]
pub struct Abandoned {
    /// The attempt.
    pub attempt: Attempt,
    /// Its request was written whole, so it may have run.
    pub was_sent: bool,
}

/// A connection to an engine. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct Connection {
    /// Life-cycle state.
    pub state: ConnectionState,
    /// When the last frame arrived; minus infinity if none has.
    pub last_frame_ms: f64,
    /// When it was last used, or came up.
    pub last_used_ms: f64,
    /// Never used.
    pub unused: bool,
    /// The last reuse after idling; cleared by the first frame that arrives.
    pub idle_reuse: Option<IdleReuse>,
    /// Since when an incomplete frame has been waiting for its rest.
    pub partial_frame_since_ms: Option<f64>,
    /// When to check the engine over another connection, if this one was reused after idling and stays silent; else
    /// infinity.
    pub check_at_ms: f64,
    /// Set when it is to be closed at once.
    pub close_reason: Option<CloseReason>,
    /// Accepts nothing new and closes when nothing is in flight.
    pub retired: bool,
    /// Attempts in flight, by the ids of their queries.
    pub attempts: FxHashMap<Rc<str>, Attempt>,
    /// Ids of attempts that were abandoned after they had been sent. They are not reused here: a late answer would be
    /// taken for that of the new attempt.
    abandoned_ids: FxHashSet<Rc<str>>,
    /// Health checks in flight.
    pub health_checks: Vec<HealthCheck>,
    outbox: Outbox,
}

impl Connection {
    /// A connection whose connect is about to begin.
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

    /// The connect timed out. Drops the health checks queued here and returns their number.
    pub fn on_connect_timeout(&mut self) -> usize {
        self.state = ConnectionState::Late;
        let dropped = std::mem::take(&mut self.health_checks).len();
        self.outbox.discard_commands();
        dropped
    }

    /// The connect succeeded. If nothing is queued here any more, the connection idles from now on and counts as
    /// unused.
    pub fn on_connected(&mut self, now_ms: f64) {
        self.state = ConnectionState::Up;
        self.last_used_ms = now_ms;
        if self.in_flight() == 0 {
            self.unused = true;
            self.idle_reuse = None;
        }
    }

    // ---- What it is good for ----

    /// Number of attempts and health checks in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len() + self.health_checks.len()
    }

    /// Since when (ms) it has idled; minus infinity if it is not up, is retired or has something in flight.
    pub fn idle_since_ms(&self) -> f64 {
        if self.in_flight() == 0 && !self.retired && self.state == ConnectionState::Up {
            self.last_used_ms
        } else {
            f64::NEG_INFINITY
        }
    }

    /// Its suitability for another attempt, if idling for less than `trusted_idle_ms` is trusted.
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

    /// Whether it accepts an attempt with this id; `max_streams` limits what is in flight.
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
    pub fn submit(
        &mut self,
        id: &Rc<str>,
        fields: RequestFields,
        statement: Rc<[u8]>,
        attempt: Attempt,
    ) {
        if self.in_flight() == 0 && !self.unused {
            self.idle_reuse = Some(IdleReuse {
                idle_ms: attempt.sent_ms - self.last_used_ms,
                sent_ms: attempt.sent_ms,
            });
        }
        self.last_used_ms = attempt.sent_ms;
        self.unused = false;
        self.outbox.push_request(id, fields, statement);
        self.attempts.insert(id.clone(), attempt);
    }

    /// Queues a health check.
    pub fn check_health(&mut self, tag: Rc<str>, now_ms: f64, deadline_ms: f64) {
        self.last_used_ms = now_ms;
        self.unused = false;
        self.outbox
            .push_command(&Command::CheckHealth { tag: &tag });
        self.health_checks.push(HealthCheck {
            tag,
            sent_ms: now_ms,
            deadline_ms,
        });
    }

    /// Queues a new priority for an attempt in flight.
    pub fn set_priority(&mut self, id: &str, priority: u8) {
        if self.attempts.contains_key(id) {
            self.outbox
                .push_command(&Command::SetPriority { id, priority });
        }
    }

    /// Abandons an attempt; `None` if it is not in flight here. An unwritten request is withdrawn, a partly written
    /// one closes the connection, and for a written one an abort is queued.
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
                self.outbox.push_command(&Command::Abort { id });
            }
        }
        Some(Abandoned {
            attempt,
            was_sent: withdrawal == Withdrawal::Written,
        })
    }

    /// The attempts of whose requests no byte was written.
    pub fn unstarted_requests(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        self.outbox.unstarted_requests()
    }

    /// The attempt whose request would go out next and needs a permit.
    pub fn next_to_begin(&mut self) -> Option<(Rc<str>, &Attempt)> {
        let id = self.outbox.next_to_begin()?;
        let attempt = self.attempts.get(&id)?;
        Some((id, attempt))
    }

    /// Lets an attempt's request go out.
    pub fn begin(&mut self, id: &str, permit: &BeginPermit) {
        self.outbox.begin(id, permit);
    }

    /// Whether an attempt's request was written whole.
    pub fn is_fully_written(&self, id: &str) -> bool {
        !self.outbox.holds_request(id)
    }

    /// Whether the outbox holds anything.
    pub fn has_unwritten(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Empties the outbox.
    pub fn discard_unwritten(&mut self) {
        self.outbox.clear();
    }

    /// Appends the bytes to write next, as `max` slices at most.
    pub fn slices<'a>(&'a self, out: &mut Vec<IoSlice<'a>>, max: usize) {
        self.outbox.slices(out, max);
    }

    /// Records that `count` more bytes were written.
    pub fn advance(&mut self, count: usize) {
        self.outbox.advance(count);
    }
}

#[cfg(test)]
mod tests;
