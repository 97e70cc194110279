//! Interprets the frames that an engine sends.

use super::attempt::{Attempt, ResultProgress};
use super::outbox::Outbox;
use super::Connection;
use crate::engine::protocol::{self, Command, EngineReply, HealthReply, ProgressNote};
use crate::engine::protocol_error::ProtocolError;
use crate::engine::resp::Frame;
use crate::query_registry::Pages;
use tansymux::events::Outcome;

/// The meaning of a frame.
#[derive(Debug, PartialEq)]
pub enum FrameEvent {
    /// An attempt has its final answer.
    AttemptEnded {
        /// The query's number in the registry.
        query_id: u64,
        /// The attempt's number within the query.
        attempt: usize,
        /// How it ended.
        outcome: Outcome,
        /// When it was queued on the connection (ms).
        sent_ms: f64,
        /// Its result.
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
    HealthChecked(Outcome),
    /// A duplicate, or about something that is no longer in flight here.
    Ignored,
}

/// The effect of a reply on its attempt.
enum ReplyEffect {
    /// The attempt has ended.
    Final(Outcome),
    /// The attempt remains in flight.
    Interim(FrameEvent),
}

impl Connection {
    /// Handles a frame. Duplicates, late answers and others that concern nothing in flight are ignored.
    ///
    /// # Errors
    /// The frame violates the protocol. Its attempt stays in flight until the caller closes the connection.
    pub fn receive(&mut self, frame: &Frame, now_ms: f64) -> Result<FrameEvent, ProtocolError> {
        self.last_frame_ms = now_ms;
        let id = protocol::reply_id(frame)?;
        let mut health_checks = self.health_checks.iter();
        if let Some(index) = health_checks.position(|check| &*check.tag == id) {
            self.health_checks.swap_remove(index);
            let outcome = health_outcome(HealthReply::parse(frame));
            return Ok(FrameEvent::HealthChecked(outcome));
        }
        match self.apply_reply(id, frame)? {
            ReplyEffect::Final(outcome) => Ok(self.complete(id, outcome, now_ms)),
            ReplyEffect::Interim(event) => Ok(event),
        }
    }

    /// Applies a reply to the attempt with this id and returns its effect.
    fn apply_reply(&mut self, id: &str, frame: &Frame) -> Result<ReplyEffect, ProtocolError> {
        let ignored = ReplyEffect::Interim(FrameEvent::Ignored);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return Ok(ignored);
        };
        let outcome = match EngineReply::parse(frame)? {
            EngineReply::Progress(note) => {
                return Ok(ReplyEffect::Interim(progress_event(attempt, note)));
            }
            // A duplicate of the first page.
            EngineReply::FirstPage { .. } if attempt.page_count() > 0 => return Ok(ignored),
            EngineReply::FirstPage { page_count, rows } => {
                match attempt.add_first_page(page_count, rows)? {
                    ResultProgress::Complete => Outcome::Completed,
                    ResultProgress::Incomplete => {
                        let pages = attempt.page_count();
                        request_remaining_pages(&mut self.outbox, id, pages);
                        return Ok(ignored);
                    }
                }
            }
            EngineReply::NumberedPage { page_number, rows } => {
                match attempt.add_numbered_page(page_number, rows)? {
                    ResultProgress::Complete => {
                        self.outbox.push_command(&Command::ConfirmResult { id });
                        Outcome::Completed
                    }
                    ResultProgress::Incomplete => return Ok(ignored),
                }
            }
            EngineReply::Full => Outcome::Full,
            EngineReply::DeadlinePassed => Outcome::NotSent,
            EngineReply::Failed => Outcome::Error,
        };
        Ok(ReplyEffect::Final(outcome))
    }

    /// The attempt has its final answer.
    fn complete(&mut self, id: &str, outcome: Outcome, now_ms: f64) -> FrameEvent {
        let Some(mut attempt) = self.attempts.remove(id) else {
            return FrameEvent::Ignored;
        };
        self.last_used_ms = now_ms;
        FrameEvent::AttemptEnded {
            query_id: attempt.query_id,
            attempt: attempt.number,
            outcome,
            sent_ms: attempt.sent_ms,
            pages: attempt.take_pages(),
        }
    }
}

fn health_outcome(reply: HealthReply) -> Outcome {
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
        None => FrameEvent::Ignored,
    }
}

fn request_remaining_pages(outbox: &mut Outbox, id: &str, page_count: usize) {
    for page in 1..page_count {
        outbox.push_command(&Command::RequestPage { id, page });
    }
}
