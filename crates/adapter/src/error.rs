//! What can be wrong with the input.

use tansymux::events::UnknownResourceGroup;
use tansymux::settings::SettingsError;

/// A line of a batch that cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub struct InputError {
    /// Which line of the batch, counted from 0.
    pub line: usize,
    /// What is wrong with it.
    pub cause: LineError,
}

/// What is wrong with a line.
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
    CensusSlotTooHigh { slot: usize, max: usize },
    #[error("the census should hold {entries} entries")]
    CensusTooShort { entries: usize },
    #[error("no census has slot {slot}")]
    NoCensus { slot: usize },
    #[error("{source} (in the census entry on line {line} of the batch)")]
    CensusEntry { line: usize, source: Box<LineError> },
    #[error("dispatcher {dispatcher} is not enlisted")]
    NotEnlisted { dispatcher: u64 },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    UnknownResourceGroup(#[from] UnknownResourceGroup),
}

impl LineError {
    /// The error with the line of the batch that it is in, counted from 0.
    pub fn at(self, line: usize) -> InputError {
        InputError { line, cause: self }
    }

    /// A word that is none of those that are allowed.
    pub fn unknown_token(kind: &'static str, token: &str) -> Self {
        let token = token.to_owned();
        LineError::UnknownToken { kind, token }
    }
}
