//! Interprets the frames that an engine sends.

use super::attempt::{Attempt, ResultProgress};
use super::{CloseReason, Connection};
use crate::attempt_end::EndCause;
use crate::engine::protocol::{self, Command, EngineReply, HealthReply, ProgressNote};
use crate::engine::protocol_error::ProtocolError;
use crate::engine::resp::Frame;
use crate::ids::AttemptId;
use crate::ignored_reply::IgnoredReply;
use crate::query_registry::Pages;
use tansymux::events::Outcome;

/// Effect of a received frame.
#[derive(Debug, PartialEq)]
pub enum FrameEvent {
    /// The frame ended an attempt.
    AttemptEnded {
        /// The query's number in the registry.
        query_id: u64,
        /// The attempt's number within the query.
        attempt: usize,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Why the attempt ended.
        cause: EndCause,
        /// Time at which the attempt was queued on the connection (ms).
        sent_ms: f64,
        /// Deadline of the attempt (ms).
        deadline_ms: f64,
        /// Pages of the result.
        pages: Pages,
    },
    /// A progress note on an attempt in flight.
    Progress {
        /// The query's number in the registry.
        query_id: u64,
        /// The attempt's number within the query.
        attempt: usize,
        /// The note.
        note: ProgressNote,
    },
    /// A health check was answered.
    HealthCheckAnswered(Outcome),
    /// A page arrived, and the result is still incomplete.
    PageArrived,
    /// The frame has no effect.
    Ignored(IgnoredReply),
}

/// Outcome of an attempt, and why it ended.
#[derive(Debug, Clone, Copy)]
struct AttemptEnd {
    outcome: Outcome,
    cause: EndCause,
}

impl AttemptEnd {
    /// Returns how a reply with this outcome ends the attempt. An attempt with a page or reported progress has run:
    /// its outcome is an error, even if the reply states that the engine did not run it.
    fn of(attempt: &Attempt, outcome: Outcome) -> Self {
        if attempt.page_count() > 0 {
            return AttemptEnd {
                outcome: Outcome::Error,
                cause: EndCause::ResultLost,
            };
        }
        if attempt.has_progress() {
            return AttemptEnd::by_final_reply(Outcome::Error);
        }
        AttemptEnd::by_final_reply(outcome)
    }

    fn by_final_reply(outcome: Outcome) -> Self {
        AttemptEnd {
            outcome,
            cause: EndCause::FinalReply,
        }
    }
}

/// Effect of a reply on its attempt.
enum ReplyEffect {
    /// The attempt has ended.
    Final(AttemptEnd),
    /// The attempt remains in flight.
    Interim(FrameEvent),
}

impl ReplyEffect {
    fn ignored(reason: IgnoredReply) -> Self {
        ReplyEffect::Interim(FrameEvent::Ignored(reason))
    }
}

impl Connection {
    /// Handles a frame. Ignores duplicates, late replies and other replies that match nothing in flight.
    ///
    /// # Errors
    /// The frame violates the protocol. Its attempt stays in flight until the caller closes the connection.
    pub fn receive(&mut self, frame: &Frame, now_ms: f64) -> Result<FrameEvent, ProtocolError> {
        self.last_frame_ms = now_ms;
        let id = protocol::reply_id(frame)?;
        let mut health_checks = self.health_checks.iter();
        if let Some(index) = health_checks.position(|check| &*check.tag == id) {
            self.health_checks.swap_remove(index);
            let outcome = health_check_outcome(HealthReply::parse(frame));
            return Ok(FrameEvent::HealthCheckAnswered(outcome));
        }
        match self.apply_reply(id, frame)? {
            ReplyEffect::Final(end) => Ok(self.complete(id, end, now_ms)),
            ReplyEffect::Interim(event) => {
                let is_ignored = matches!(event, FrameEvent::Ignored(_));
                if is_ignored && self.flood_meter.record_ignored_reply(frame.size, now_ms) {
                    self.close_reason = Some(CloseReason::Flood);
                }
                Ok(event)
            }
        }
    }

    /// Applies a reply to the attempt with this id and returns its effect.
    fn apply_reply(&mut self, id: &str, frame: &Frame) -> Result<ReplyEffect, ProtocolError> {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return Ok(ReplyEffect::ignored(IgnoredReply::NotInFlight));
        };
        let end = match EngineReply::parse(frame)? {
            EngineReply::Progress(note) => {
                attempt.record_note(note);
                return Ok(ReplyEffect::Interim(progress_event(attempt, note)));
            }
            EngineReply::FirstPage { .. } if attempt.page_count() > 0 => {
                return Ok(ReplyEffect::ignored(IgnoredReply::DuplicateFirstPage));
            }
            EngineReply::FirstPage { page_count, rows } => {
                let (attempt_id, progress) =
                    (attempt.id(), attempt.add_first_page(page_count, rows)?);
                return Ok(self.on_page(id, attempt_id, progress));
            }
            EngineReply::NumberedPage { page_number, rows } => {
                let (attempt_id, progress) =
                    (attempt.id(), attempt.add_numbered_page(page_number, rows)?);
                return Ok(self.on_page(id, attempt_id, progress));
            }
            EngineReply::Full => AttemptEnd::of(attempt, Outcome::Full),
            EngineReply::DeadlinePassed => AttemptEnd::of(attempt, Outcome::NotSent),
            EngineReply::Failed => AttemptEnd::of(attempt, Outcome::Error),
        };
        Ok(ReplyEffect::Final(end))
    }

    /// Returns the effect of a page. Requests the remaining pages after the first one.
    fn on_page(&mut self, id: &str, attempt: AttemptId, progress: ResultProgress) -> ReplyEffect {
        match progress {
            ResultProgress::Begun { page_count } => {
                for page in 1..page_count {
                    let command = Command::RequestPage { id, page };
                    self.outbox.push_command(attempt, &command);
                }
                ReplyEffect::Interim(FrameEvent::PageArrived)
            }
            ResultProgress::Incomplete => ReplyEffect::Interim(FrameEvent::PageArrived),
            ResultProgress::Duplicate => ReplyEffect::ignored(IgnoredReply::DuplicatePage),
            ResultProgress::Complete => {
                ReplyEffect::Final(AttemptEnd::by_final_reply(Outcome::Completed))
            }
        }
    }

    /// Removes an attempt that has ended. Drops its commands that have no byte written. Releases its result if
    /// pages were lost or if it has several pages.
    fn complete(&mut self, id: &str, end: AttemptEnd, now_ms: f64) -> FrameEvent {
        let Some(mut attempt) = self.attempts.remove(id) else {
            return FrameEvent::Ignored(IgnoredReply::NotInFlight);
        };
        self.last_used_ms = now_ms;
        self.outbox.discard_commands_about(attempt.id());
        let release = Command::ReleaseResult { id };
        if end.cause == EndCause::ResultLost {
            self.push_last_command(&release, attempt.id(), now_ms);
        } else if attempt.page_count() > 1 {
            self.outbox.push_command(attempt.id(), &release);
        }
        FrameEvent::AttemptEnded {
            query_id: attempt.query_id,
            attempt: attempt.number,
            outcome: end.outcome,
            cause: end.cause,
            sent_ms: attempt.sent_ms,
            deadline_ms: attempt.deadline_ms,
            pages: attempt.take_pages(),
        }
    }
}

fn health_check_outcome(reply: HealthReply) -> Outcome {
    match reply {
        HealthReply::Healthy => Outcome::Completed,
        HealthReply::Unhealthy => Outcome::Error,
    }
}

fn progress_event(attempt: &Attempt, note: Option<ProgressNote>) -> FrameEvent {
    match note {
        Some(note) => FrameEvent::Progress {
            query_id: attempt.query_id,
            attempt: attempt.number,
            note,
        },
        None => FrameEvent::Ignored(IgnoredReply::UnusedNote),
    }
}
