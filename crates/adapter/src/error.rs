//! Errors in the input.

use tansymux::events::UnknownResourceGroup;
use tansymux::settings::SettingsError;

/// An invalid line of a batch.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub struct InputError {
    /// The line of the batch, counted from 0.
    pub line: usize,
    /// The error in the line.
    pub cause: LineError,
}

/// An error in a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("not UTF-8")]
    NotUtf8,
    #[error("expected a batch line, got {found:?}")]
    BatchExpected { found: String },
    #[error("{field} is missing")]
    Missing { field: String },
    #[error("{field} {value:?} is not a valid number")]
    NotANumber { field: String, value: String },
    #[error("{field} {value:?} is neither 1 nor 0")]
    NotAFlag { field: String, value: String },
    #[error("unexpected field {text:?}")]
    UnexpectedField { text: String },
    #[error("unknown {kind} {token:?}")]
    UnknownToken { kind: &'static str, token: String },
    #[error("unknown sort {number} of a status note")]
    UnknownNoteKind { number: i32 },
    #[error("object {text:?} is not a hexadecimal key")]
    InvalidKey { text: String },
    #[error("content {text:?} is not base64")]
    NotBase64 { text: String },
    #[error("report value {text:?} has no name")]
    ReportWithoutName { text: String },
    #[error("census slot {slot} is above {max}")]
    ListSlotTooHigh { slot: usize, max: usize },
    #[error("the census has fewer than {entries} entries")]
    ListTooShort { entries: usize },
    #[error("census slot {slot} is empty")]
    EmptyListSlot { slot: usize },
    #[error("{source} (in the census entry on line {line} of the batch)")]
    ListEntry { line: usize, source: Box<LineError> },
    #[error("dispatcher {dispatcher} is not started (no enlist line)")]
    DispatcherNotStarted { dispatcher: u64 },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    UnknownResourceGroup(#[from] UnknownResourceGroup),
}

impl LineError {
    /// Adds the line of the batch, counted from 0, to the error.
    pub fn at(self, line: usize) -> InputError {
        InputError { line, cause: self }
    }

    /// The error for a word that the protocol does not define.
    pub fn unknown_token(kind: &'static str, token: &str) -> Self {
        let token = token.to_owned();
        LineError::UnknownToken { kind, token }
    }
}
