//! Interprets the frames that an engine sends.

use super::attempt::{parse_progress_note, Attempt, ProgressNote, ResultProgress};
use super::outbox::Outbox;
use super::Connection;
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

/// What a reply means for its attempt.
enum Reply {
    /// The attempt has ended.
    Final(Outcome),
    /// The attempt goes on.
    Interim(FrameEvent),
}

impl Connection {
    /// Handles a frame. Duplicates, late answers and others that concern nothing in flight are ignored.
    ///
    /// # Errors
    /// The frame violates the protocol. Its attempt stays in flight until the caller closes the connection.
    pub fn receive(&mut self, frame: &Frame, now_ms: f64) -> Result<FrameEvent, ProtocolError> {
        self.last_frame_ms = now_ms;
        let id = std::str::from_utf8(frame.element(0)).map_err(|_| ProtocolError::InvalidId)?;
        let mut health_checks = self.health_checks.iter();
        if let Some(index) = health_checks.position(|check| &*check.tag == id) {
            self.health_checks.swap_remove(index);
            let outcome = health_outcome(frame.element(1));
            return Ok(FrameEvent::HealthChecked(outcome));
        }
        match self.reply_to(id, frame)? {
            Reply::Final(outcome) => Ok(self.complete(id, outcome, now_ms)),
            Reply::Interim(event) => Ok(event),
        }
    }

    /// What a reply means for the attempt with this id.
    fn reply_to(&mut self, id: &str, frame: &Frame) -> Result<Reply, ProtocolError> {
        let ignored = Reply::Interim(FrameEvent::Ignored);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return Ok(ignored);
        };
        let fields = frame.element(2);
        let outcome = match frame.element(1) {
            b"TELL" => return Ok(Reply::Interim(progress_event(attempt, fields))),
            // A duplicate of the first page.
            b"DONE" if attempt.page_count() > 0 => return Ok(ignored),
            b"DONE" => match attempt.add_first_page(fields, frame.element(3))? {
                ResultProgress::Complete => Outcome::Completed,
                ResultProgress::Incomplete => {
                    let pages = attempt.page_count();
                    request_remaining_pages(&mut self.outbox, id, pages);
                    return Ok(ignored);
                }
            },
            b"MORE" => match attempt.add_numbered_page(fields, frame.element(3))? {
                ResultProgress::Complete => {
                    self.outbox.push_command(&[b"done", id.as_bytes()]);
                    Outcome::Completed
                }
                ResultProgress::Incomplete => return Ok(ignored),
            },
            b"WAIT" => Outcome::Full,
            b"PAST" => Outcome::NotSent,
            b"BROKE" => Outcome::Error,
            _ => return Err(ProtocolError::UnknownReply),
        };
        Ok(Reply::Final(outcome))
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

fn health_outcome(word: &[u8]) -> Outcome {
    if word == b"FIT" {
        Outcome::Completed
    } else {
        Outcome::Error
    }
}

fn progress_event(attempt: &Attempt, fields: &[u8]) -> FrameEvent {
    match parse_progress_note(fields) {
        Some(note) => FrameEvent::Progress {
            query_id: attempt.query_id,
            attempt: attempt.number,
            note,
        },
        None => FrameEvent::Ignored,
    }
}

fn request_remaining_pages(outbox: &mut Outbox, id: &str, pages: usize) {
    for page in 1..pages {
        let page = page.to_string();
        outbox.push_command(&[b"more", id.as_bytes(), page.as_bytes()]);
    }
}
