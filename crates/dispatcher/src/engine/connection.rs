//! State machine of one connection to an engine: its attempts, its health checks and its outbox. No I/O and no clock:
//! the connection's task transfers the bytes, and times are passed in.

mod attempt;
mod deadlines;
mod flood_meter;
mod outbox;
mod receive;
mod state;
mod transitions;

pub use attempt::Attempt;
pub use receive::FrameEvent;
pub use state::{Abandoned, CloseReason, ConnectionState, HealthCheck, IdleReuse, Suitability};

use state::EndingAttempt;
pub use transitions::ClosedConnection;

use super::protocol::{Command, RequestFields};
use crate::attempt_end::EndCause;
use crate::guard::BeginPermit;
use crate::ids::AttemptId;
pub use outbox::RequestState;

use flood_meter::FloodMeter;
use outbox::Outbox;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// A connection with an outbox of this size (bytes) or more accepts no attempt: a bound on memory.
const MAX_OUTBOX_BYTES: usize = 4 << 20;

/// A connection to an engine. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct Connection {
    /// Life-cycle state.
    state: ConnectionState,
    /// When the last frame arrived; minus infinity if none has.
    last_frame_ms: f64,
    /// When it was last used, or came up.
    last_used_ms: f64,
    /// Whether it was never used.
    unused: bool,
    /// The last reuse after idling; cleared by the first frame that arrives.
    idle_reuse: Option<IdleReuse>,
    /// Since when (ms) a frame has been incomplete.
    partial_frame_since_ms: Option<f64>,
    /// When to check the engine over another connection if this one, reused after idling, is still silent; otherwise
    /// infinity.
    check_at_ms: f64,
    /// Set when the connection is to close immediately, even with attempts in flight.
    close_reason: Option<CloseReason>,
    /// Whether it accepts nothing new and closes when nothing is in flight.
    retired: bool,
    /// Attempts in flight, by the ids of their queries. A connection carries at most one attempt of a query
    /// ([`ChannelRequest::used_connections`](super::channel_request::ChannelRequest)): a reply with its id is about it, or comes
    /// too late.
    attempts: FxHashMap<Rc<str>, Attempt>,
    /// Health checks in flight.
    health_checks: Vec<HealthCheck>,
    /// The engine's replies without effect.
    flood_meter: FloodMeter,
    outbox: Outbox,
    /// Attempts that have ended here and whose last commands are not written, in the order of these commands.
    ending: VecDeque<EndingAttempt>,
    /// Attempts whose last commands were written since [`Connection::take_ended`].
    ended: Vec<AttemptId>,
}

impl Connection {
    /// A connection that has not started to connect.
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
            health_checks: Vec::new(),
            flood_meter: FloodMeter::default(),
            outbox: Outbox::default(),
            ending: VecDeque::new(),
            ended: Vec::new(),
        }
    }

    // ---- State ----

    /// Life-cycle state.
    pub fn state(&self) -> ConnectionState {
        self.state
    }

    /// Whether the connection is up.
    pub fn is_up(&self) -> bool {
        self.state == ConnectionState::Up
    }

    /// Whether it accepts nothing new and closes when nothing is in flight.
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// The reason for which the connection is to close immediately, if there is one.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason
    }

    /// Whether it was never used.
    pub fn is_unused(&self) -> bool {
        self.unused
    }

    /// When it was last used, or came up (ms).
    pub fn last_used_ms(&self) -> f64 {
        self.last_used_ms
    }

    /// The attempt in flight for the query with this id.
    pub fn attempt(&self, id: &str) -> Option<&Attempt> {
        self.attempts.get(id)
    }

    /// Ids of the queries whose attempts are in flight.
    pub fn attempt_ids(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        self.attempts.keys().cloned()
    }

    // ---- Suitability ----

    /// Number of attempts and health checks in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len() + self.health_checks.len()
    }

    /// Start of the current idle time (ms); minus infinity if it is not up, is retired or has something in flight.
    pub fn idle_since_ms(&self) -> f64 {
        if self.in_flight() == 0 && !self.retired && self.is_up() {
            self.last_used_ms
        } else {
            f64::NEG_INFINITY
        }
    }

    /// Its suitability for another attempt, if idle times below `trusted_idle_ms` are trusted.
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
        open && has_room && !self.attempts.contains_key(id)
    }

    // ---- Messages to the engine ----

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
            .push_health_check(&Command::CheckHealth { tag: &tag });
        self.health_checks.push(HealthCheck {
            tag,
            sent_ms: now_ms,
            deadline_ms,
        });
    }

    /// Queues a new priority for an attempt in flight.
    pub fn set_priority(&mut self, id: &str, priority: u8) {
        if let Some(attempt) = self.attempts.get(id) {
            let command = Command::SetPriority { id, priority };
            self.outbox.push_command(attempt.id(), &command);
        }
    }

    /// Abandons an attempt; `None` if it is not in flight here. An unwritten request is withdrawn, a partly written
    /// one closes the connection, and for a written one the engine is told.
    pub fn abandon(&mut self, id: &str, now_ms: f64) -> Option<Abandoned> {
        let attempt = self.attempts.remove(id)?;
        self.last_used_ms = now_ms;
        let cause = match self.outbox.withdraw(id) {
            RequestState::NotStarted => EndCause::NotBegun,
            RequestState::PartlyWritten => {
                self.close_reason = Some(CloseReason::RequestPartlyWritten);
                EndCause::HalfWritten
            }
            RequestState::Written => {
                // An engine that has sent a first page has ended the attempt, and holds its result.
                let command = if attempt.page_count() > 0 {
                    Command::ReleaseResult { id }
                } else {
                    Command::Abort { id }
                };
                self.push_last_command(&command, attempt.id(), now_ms);
                EndCause::Aborted
            }
        };
        Some(Abandoned { attempt, cause })
    }

    /// The attempts of whose requests no byte was written.
    pub fn unstarted_requests(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        self.outbox.unstarted_requests()
    }

    /// The attempt whose request is next to be written and needs a permit.
    pub fn next_to_begin(&mut self) -> Option<(Rc<str>, &Attempt)> {
        let id = self.outbox.next_to_begin()?;
        let attempt = self.attempts.get(&id)?;
        Some((id, attempt))
    }

    /// Whether `count` more written bytes reach the request that is next to be written.
    pub fn reaches_next_request(&self, count: usize) -> bool {
        count > self.outbox.bytes_before_next_request()
    }

    /// Releases an attempt's request for writing.
    pub fn begin(&mut self, id: &str, permit: &BeginPermit) {
        self.outbox.begin(id, permit);
    }

    /// Whether an attempt's request was written completely.
    pub fn is_fully_written(&self, id: &str) -> bool {
        self.outbox.request_state(id) == RequestState::Written
    }

    /// How much of an attempt's request was written.
    pub fn request_state(&self, id: &str) -> RequestState {
        self.outbox.request_state(id)
    }

    /// Whether the outbox holds anything.
    pub fn has_unwritten(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Appends the bytes to write next, as `max` slices at most.
    pub fn slices<'a>(&'a self, out: &mut Vec<IoSlice<'a>>, max: usize) {
        self.outbox.slices(out, max);
    }

    /// Records that `count` more bytes were written.
    pub fn advance(&mut self, count: usize) {
        let last_commands = self.outbox.advance(count);
        let ended = self.ending.drain(..last_commands.min(self.ending.len()));
        self.ended.extend(ended.map(|ending| ending.attempt));
    }

    /// Takes the attempts whose last commands were written since the previous call.
    pub fn take_ended(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.ended)
    }

    /// Queues the last command about an attempt, in place of those that were not written.
    fn push_last_command(&mut self, command: &Command, attempt: AttemptId, now_ms: f64) {
        self.outbox.discard_commands_about(attempt);
        self.outbox.push_last_command(command);
        self.ending.push_back(EndingAttempt {
            attempt,
            queued_ms: now_ms,
        });
    }
}

#[cfg(test)]
mod tests;
