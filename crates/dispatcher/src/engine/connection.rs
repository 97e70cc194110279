//! State machine of one connection to an engine: its attempts, its health checks and its outbox. It performs no
//! I/O and reads no clock: the connection's task transfers the bytes, and callers pass in the time.

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

use state::UnwrittenLastCommand;
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

/// Outbox size (bytes) from which a connection accepts no more attempts; bounds its memory.
const MAX_OUTBOX_BYTES: usize = 4 << 20;

/// A connection to an engine. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct Connection {
    /// Life-cycle state.
    state: ConnectionState,
    /// Arrival time of the last frame; minus infinity if no frame has arrived.
    last_frame_ms: f64,
    /// Time of the last activity: the connect, the submission, completion or abandonment of an attempt, or the
    /// submission of a health check.
    last_used_ms: f64,
    /// Whether the connection has not carried any attempt or health check.
    unused: bool,
    /// The last reuse after idling; cleared by the first frame that arrives.
    idle_reuse: Option<IdleReuse>,
    /// Arrival time of the last bytes if they end within a frame.
    partial_frame_since_ms: Option<f64>,
    /// Time to check over another connection whether the engine is reachable, if this connection is still silent after
    /// its reuse. Infinity if no check is scheduled.
    reachability_check_at_ms: f64,
    /// Reason to close the connection immediately, even with attempts in flight.
    close_reason: Option<CloseReason>,
    /// Whether the connection accepts no new attempts and closes once nothing is in flight.
    retired: bool,
    /// Attempts in flight, by query id. A connection carries at most one attempt of a query
    /// ([`ChannelRequest::used_connections`](super::channel_request::ChannelRequest)), so that every reply with a
    /// query's id, even a late one, belongs to that attempt.
    attempts: FxHashMap<Rc<str>, Attempt>,
    /// Health checks in flight.
    health_checks: Vec<HealthCheck>,
    /// Measures the engine's ignored replies.
    flood_meter: FloodMeter,
    outbox: Outbox,
    /// Last commands in the outbox, in the order of writing.
    unwritten_last_commands: VecDeque<UnwrittenLastCommand>,
    /// Attempts whose last commands were written since the last call of [`Connection::take_written_last_commands`].
    written_last_commands: Vec<AttemptId>,
}

impl Connection {
    /// Creates a connection that has not started to connect.
    pub fn new(now_ms: f64) -> Self {
        Connection {
            state: ConnectionState::Connecting,
            last_frame_ms: f64::NEG_INFINITY,
            last_used_ms: now_ms,
            unused: true,
            idle_reuse: None,
            partial_frame_since_ms: None,
            reachability_check_at_ms: f64::INFINITY,
            close_reason: None,
            retired: false,
            attempts: FxHashMap::default(),
            health_checks: Vec::new(),
            flood_meter: FloodMeter::default(),
            outbox: Outbox::default(),
            unwritten_last_commands: VecDeque::new(),
            written_last_commands: Vec::new(),
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

    /// Whether the connection accepts no new attempts and closes once nothing is in flight.
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// Reason to close the connection immediately; `None` if it may stay open.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason
    }

    /// Whether the connection has not carried any attempt or health check.
    pub fn is_unused(&self) -> bool {
        self.unused
    }

    /// Time of the last activity (ms): the connect, the submission, completion or abandonment of an attempt, or the
    /// submission of a health check.
    pub fn last_used_ms(&self) -> f64 {
        self.last_used_ms
    }

    /// Attempt in flight for the query with this id.
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

    /// Start of the current idle time (ms); minus infinity if the connection is not up, is retired or has an
    /// attempt or health check in flight.
    pub fn idle_since_ms(&self) -> f64 {
        if self.in_flight() == 0 && !self.retired && self.is_up() {
            self.last_used_ms
        } else {
            f64::NEG_INFINITY
        }
    }

    /// Suitability of the connection for another attempt. Idle times below `trusted_idle_ms` are trusted.
    pub fn suitability(&self, now_ms: f64, trusted_idle_ms: f64) -> Suitability {
        if self.in_flight() > 0 {
            Suitability::Shared
        } else if self.unused {
            Suitability::Unused
        } else if now_ms - self.last_used_ms < trusted_idle_ms {
            Suitability::RecentlyUsed
        } else {
            Suitability::Stale
        }
    }

    /// Whether the connection accepts an attempt of the query with this id. `max_streams` is the maximum number of
    /// attempts and health checks in flight.
    pub fn accepts(&self, id: &str, max_streams: usize) -> bool {
        let is_open = matches!(
            self.state,
            ConnectionState::Connecting | ConnectionState::Up
        ) && !self.retired;
        let has_capacity = self.in_flight() < max_streams && self.outbox.bytes() < MAX_OUTBOX_BYTES;
        is_open && has_capacity && !self.attempts.contains_key(id)
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

    /// Abandons an attempt; returns `None` if it is not in flight on this connection. An unstarted request is
    /// withdrawn, a partly written one closes the connection, and a written one is followed by a command that
    /// aborts the attempt or releases its result.
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
                // An engine that has sent the first page has completed the attempt and retains the result.
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

    /// Keeps no rows of an attempt's result from now on, because no answer is owed any more.
    pub fn discard_rows(&mut self, id: &str) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.discard_rows();
        }
    }

    /// Query ids of the attempts whose requests have no byte written.
    pub fn unstarted_requests(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        self.outbox.unstarted_requests()
    }

    /// Returns the attempt whose request is written next and needs a permit, with its query id.
    pub fn next_to_begin(&mut self) -> Option<(Rc<str>, &Attempt)> {
        let id = self.outbox.next_to_begin()?;
        let attempt = self.attempts.get(&id)?;
        Some((id, attempt))
    }

    /// Whether a write of `count` bytes includes the first byte of the next request.
    pub fn reaches_next_request(&self, count: usize) -> bool {
        count > self.outbox.bytes_before_next_request()
    }

    /// Releases an attempt's request for writing, with the time limit of its permit.
    pub fn begin(&mut self, id: &str, permit: &BeginPermit) {
        self.outbox.begin(id, permit);
    }

    /// Whether an attempt's request was written completely.
    pub fn is_fully_written(&self, id: &str) -> bool {
        self.outbox.request_state(id) == RequestState::Written
    }

    /// Write state of an attempt's request.
    pub fn request_state(&self, id: &str) -> RequestState {
        self.outbox.request_state(id)
    }

    /// Whether the outbox holds any message.
    pub fn has_unwritten(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Appends the bytes to write next, as `max` slices at most.
    pub fn slices<'a>(&'a self, out: &mut Vec<IoSlice<'a>>, max: usize) {
        self.outbox.slices(out, max);
    }

    /// Records that `count` more bytes were written.
    pub fn advance(&mut self, count: usize) {
        let completed_count = self.outbox.advance(count);
        let completed = self
            .unwritten_last_commands
            .drain(..completed_count.min(self.unwritten_last_commands.len()));
        self.written_last_commands
            .extend(completed.map(|command| command.attempt));
    }

    /// Takes the attempts whose last commands were written since the previous call.
    pub fn take_written_last_commands(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.written_last_commands)
    }

    /// Queues the last command about an attempt. It replaces the attempt's commands that have no byte written.
    fn push_last_command(&mut self, command: &Command, attempt: AttemptId, now_ms: f64) {
        self.outbox.discard_commands_about(attempt);
        self.outbox.push_last_command(command);
        self.unwritten_last_commands
            .push_back(UnwrittenLastCommand {
                attempt,
                queued_ms: now_ms,
            });
    }
}

#[cfg(test)]
mod tests;
