//! Errors of the input.

use tansymux::events::UnknownResourceGroup;
use tansymux::settings::SettingsError;

/// An invalid line of a batch.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub struct InputError {
    /// The line of the batch, counted from 0.
    pub line: usize,
    /// The error of the line.
    pub cause: LineError,
}

/// The error of a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("not UTF-8")]
    NotUtf8,
    #[error("a batch was expected, not {found:?}")]
    BatchExpected { found: String },
    #[error("{field} is missing")]
    Missing { field: String },
    #[error("{field} {value:?} is not such a number")]
    NotANumber { field: String, value: String },
    #[error("{field} {value:?} is neither 1 nor 0")]
    NotAFlag { field: String, value: String },
    #[error("unexpected field {text:?}")]
    UnexpectedField { text: String },
    #[error("unknown {kind} {token:?}")]
    UnknownToken { kind: &'static str, token: String },
    #[error("unknown sort of note {number}")]
    UnknownNote { number: i32 },
    #[error("object {text:?} is not a key")]
    NotAKey { text: String },
    #[error("content {text:?} is not base64")]
    NotBase64 { text: String },
    #[error("report value {text:?} has no name")]
    ReportWithoutName { text: String },
    #[error("census slot {slot} is above {max}")]
    ListSlotTooHigh { slot: usize, max: usize },
    #[error("the census should hold {entries} entries")]
    ListTooShort { entries: usize },
    #[error("no census has slot {slot}")]
    NoList { slot: usize },
    #[error("{source} (in the census entry on line {line} of the batch)")]
    ListEntry { line: usize, source: Box<LineError> },
    #[error("dispatcher {dispatcher} is not enlisted")]
    NotEnlisted { dispatcher: u64 },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    UnknownResourceGroup(#[from] UnknownResourceGroup),
}

impl LineError {
    /// The error with its line of the batch, counted from 0.
    pub fn at(self, line: usize) -> InputError {
        InputError { line, cause: self }
    }

    /// The error for a word that is not allowed.
    pub fn unknown_token(kind: &'static str, token: &str) -> Self {
        let token = token.to_owned();
        LineError::UnknownToken { kind, token }
    }
}
