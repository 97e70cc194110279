//! Encodes and parses the messages of the engine protocol. Pure functions over bytes.
//!
//! All messages are RESP arrays of bulk strings ([`resp`]). The dispatcher sends requests ([`RequestFields`]) and
//! [`Command`]s. An engine answers an attempt with [`EngineReply`]s and a health check with one [`HealthReply`].

use super::protocol_error::ProtocolError;
use super::resp::{self, Frame};
use crate::query_registry::Query;
use std::fmt::Write;
use tansymux::events::NoteKind;

/// Command that starts an attempt.
const START_ATTEMPT: &[u8] = b"fetch";
/// Command that requests a page other than the first.
const REQUEST_PAGE: &[u8] = b"more";
/// Command that releases a result of several pages: no more of them are wanted.
const RELEASE_RESULT: &[u8] = b"done";
/// Command that aborts an attempt.
const ABORT_ATTEMPT: &[u8] = b"abort";
/// Command that changes the priority of a running attempt.
const SET_PRIORITY: &[u8] = b"renice";
/// Command that checks the engine's health.
const CHECK_HEALTH: &[u8] = b"alive";

/// Reply type: a progress note.
const PROGRESS: &[u8] = b"TELL";
/// Reply type: the first page of the result.
const FIRST_PAGE: &[u8] = b"DONE";
/// Reply type: a page other than the first.
const NUMBERED_PAGE: &[u8] = b"MORE";
/// Reply type: the engine has no capacity for the attempt.
const FULL: &[u8] = b"WAIT";
/// Reply type: the attempt's time limit had passed before it started.
const DEADLINE_PASSED: &[u8] = b"PAST";
/// Reply type: the attempt failed.
const FAILED: &[u8] = b"BROKE";
/// Reply type: the engine is healthy.
const HEALTHY: &[u8] = b"FIT";

/// Request field: the resource group.
const RESOURCE_GROUP_FIELD: &str = "cls";
/// Request field: the time limit (ms).
const TIME_LIMIT_FIELD: &str = "limit";
/// Request field: the idempotency key.
const IDEMPOTENCY_KEY_FIELD: &str = "nonce";
/// Request field: the ordering key.
const ORDERING_KEY_FIELD: &str = "item";
/// Request field: the memory grant (MB).
const MEMORY_FIELD: &str = "mb";
/// Request field: the priority.
const PRIORITY_FIELD: &str = "nice";
/// Field of a first page: the number of pages.
const PAGE_COUNT_FIELD: &str = "batches";
/// Field of a page other than the first: its number, from 0.
const PAGE_NUMBER_FIELD: &str = "batch";
/// Field of a progress note: its kind.
const NOTE_KIND_FIELD: &str = "tell";
/// Field of a progress note: its value.
const NOTE_AMOUNT_FIELD: &str = "num";

/// Bytes reserved for an encoded command; an initial capacity, not a limit.
const COMMAND_CAPACITY_BYTES: usize = 64;

/// A message about an attempt in flight, or a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command<'a> {
    /// Requests a page of an attempt's result other than the first.
    RequestPage {
        /// Id of the attempt's query.
        id: &'a str,
        /// The page's number, from 0.
        page: usize,
    },
    /// Releases an attempt's result: all its pages have arrived, or the attempt has ended without them.
    ReleaseResult {
        /// Id of the attempt's query.
        id: &'a str,
    },
    /// Aborts an attempt.
    Abort {
        /// Id of the attempt's query.
        id: &'a str,
    },
    /// Changes the priority of an attempt.
    SetPriority {
        /// Id of the attempt's query.
        id: &'a str,
        /// The new priority, on the engine's scale.
        priority: u8,
    },
    /// Checks the engine's health.
    CheckHealth {
        /// Id that the reply repeats.
        tag: &'a str,
    },
}

impl Command<'_> {
    /// Encodes the command as a RESP array.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Command::RequestPage { id, page } => {
                let page = page.to_string();
                encode_elements(&[REQUEST_PAGE, id.as_bytes(), page.as_bytes()])
            }
            Command::ReleaseResult { id } => encode_elements(&[RELEASE_RESULT, id.as_bytes()]),
            Command::Abort { id } => encode_elements(&[ABORT_ATTEMPT, id.as_bytes()]),
            Command::SetPriority { id, priority } => {
                let priority = priority.to_string();
                encode_elements(&[SET_PRIORITY, id.as_bytes(), priority.as_bytes()])
            }
            Command::CheckHealth { tag } => encode_elements(&[CHECK_HEALTH, tag.as_bytes()]),
        }
    }
}

fn encode_elements(elements: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(COMMAND_CAPACITY_BYTES);
    resp::write(&mut bytes, elements, None);
    bytes
}

/// The fields of a request without its time limit. The time limit is known only when the request is written.
#[derive(Debug, Clone, Default)]
pub struct RequestFields {
    /// The fields before the time limit, without a trailing comma.
    pub before_limit: String,
    /// The fields after the time limit, each with a leading comma.
    pub after_limit: String,
}

impl RequestFields {
    /// Returns the request fields of a query's next attempt. The engine chooses the values of omitted fields.
    pub fn of(query: &Query) -> Self {
        let mut after_limit = String::new();
        push_field(
            &mut after_limit,
            IDEMPOTENCY_KEY_FIELD,
            &query.idempotency_key,
        );
        push_field(&mut after_limit, ORDERING_KEY_FIELD, &query.ordering_key);
        if let Some(grant) = query.grant {
            if grant.memory_mb > 0.0 {
                let memory_mb = Some(format_args!("{:.3}", grant.memory_mb));
                push_field(&mut after_limit, MEMORY_FIELD, &memory_mb);
            }
            push_field(&mut after_limit, PRIORITY_FIELD, &Some(grant.priority));
        }
        RequestFields {
            before_limit: format!("{RESOURCE_GROUP_FIELD}={}", query.resource_group),
            after_limit,
        }
    }

    /// Appends a request to `out`, except for the bytes of its statement and the line end after them.
    /// `limit_ms` is the remaining time of the attempt.
    pub fn encode_head(&self, out: &mut Vec<u8>, id: &str, limit_ms: u64, statement_len: usize) {
        let RequestFields {
            before_limit,
            after_limit,
        } = self;
        let fields = format!("{before_limit},{TIME_LIMIT_FIELD}={limit_ms}{after_limit}");
        let elements = [START_ATTEMPT, id.as_bytes(), fields.as_bytes()];
        resp::write(out, &elements, Some(statement_len));
    }
}

fn push_field(fields: &mut String, name: &str, value: &Option<impl std::fmt::Display>) {
    if let Some(value) = value {
        // Writing to a string cannot fail.
        let _ = write!(fields, ",{name}={value}");
    }
}

/// A reply to an attempt, with the fields of its frame.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EngineReply<'a> {
    /// A progress note; `None` if its kind is unused or its amount is not a finite number.
    Progress(Option<ProgressNote>),
    /// The first page of the result.
    FirstPage {
        /// The number of pages; `None` if the field is missing or not a number.
        page_count: Option<usize>,
        /// The page's rows.
        rows: &'a [u8],
    },
    /// A page of the result other than the first.
    NumberedPage {
        /// The page's number, from 0; `None` if the field is missing or not a number.
        page_number: Option<usize>,
        /// The page's rows.
        rows: &'a [u8],
    },
    /// The engine has no capacity for the attempt.
    Full,
    /// The attempt's time limit had passed before it started.
    DeadlinePassed,
    /// The attempt failed.
    Failed,
}

impl<'a> EngineReply<'a> {
    /// Parses the reply in a frame.
    ///
    /// # Errors
    /// The reply's type is not part of the protocol.
    pub fn parse(frame: &Frame<'a>) -> Result<Self, ProtocolError> {
        let fields = frame.element(2);
        match frame.element(1) {
            PROGRESS => Ok(EngineReply::Progress(ProgressNote::parse(fields))),
            FIRST_PAGE => Ok(EngineReply::FirstPage {
                page_count: number_field(fields, PAGE_COUNT_FIELD),
                rows: frame.element(3),
            }),
            NUMBERED_PAGE => Ok(EngineReply::NumberedPage {
                page_number: number_field(fields, PAGE_NUMBER_FIELD),
                rows: frame.element(3),
            }),
            FULL => Ok(EngineReply::Full),
            DEADLINE_PASSED => Ok(EngineReply::DeadlinePassed),
            FAILED => Ok(EngineReply::Failed),
            _ => Err(ProtocolError::UnknownReply),
        }
    }
}

/// A progress note from the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgressNote {
    /// Kind of the note.
    pub kind: NoteKind,
    /// Value of the note; its meaning depends on the kind.
    pub amount: f64,
}

impl ProgressNote {
    /// Parses the fields of a progress note; `None` for unused kinds and malformed notes.
    fn parse(fields: &[u8]) -> Option<Self> {
        let kind = match resp::field(fields, NOTE_KIND_FIELD)? {
            "frac" => NoteKind::Progress,
            "missing" => NoteKind::Spilling,
            "parked" => NoteKind::Waiting,
            _ => return None,
        };
        let amount: f64 = resp::field(fields, NOTE_AMOUNT_FIELD)?.parse().ok()?;
        amount.is_finite().then_some(ProgressNote { kind, amount })
    }
}

/// The reply to a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthReply {
    /// The engine is healthy.
    Healthy,
    /// Any other reply.
    Unhealthy,
}

impl HealthReply {
    /// Parses the reply in a frame.
    pub fn parse(frame: &Frame) -> Self {
        match frame.element(1) {
            HEALTHY => HealthReply::Healthy,
            _ => HealthReply::Unhealthy,
        }
    }
}

/// Returns the id that a reply repeats: the id of an attempt's query, or the tag of a health check.
///
/// # Errors
/// The id is not UTF-8.
pub fn reply_id<'a>(frame: &Frame<'a>) -> Result<&'a str, ProtocolError> {
    std::str::from_utf8(frame.element(0)).map_err(|_| ProtocolError::InvalidId)
}

/// Returns the name of a reply's type for log lines. The name is a fixed text, unlike the reply's id and fields, whose
/// content the engine chooses.
pub fn reply_name(frame: &Frame) -> &'static str {
    match frame.element(1) {
        PROGRESS => "progress",
        FIRST_PAGE => "first_page",
        NUMBERED_PAGE => "numbered_page",
        FULL => "full",
        DEADLINE_PASSED => "deadline_passed",
        FAILED => "failed",
        HEALTHY => "healthy",
        _ => "unknown",
    }
}

fn number_field(fields: &[u8], name: &str) -> Option<usize> {
    resp::field(fields, name)?.parse().ok()
}

#[cfg(test)]
mod tests;
