//! Reads the operators' file at the start and at SIGHUP, and checks it, also against the settings.
//!
//! A file with an error is rejected as a whole.

mod settings_check;

pub use settings_check::{check_against_settings, SettingsMismatch};

use crate::file::{read_text, FileError};
use std::path::Path;
use tansymux_operator_config::{ConfigError, Operator, MAX_BYTES};

/// An error in an operators' file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file is invalid, independent of the settings.
    #[error("{path}:{error}")]
    Invalid {
        /// The file's path.
        path: String,
        /// The error with its line, key, value and the allowed values.
        error: ConfigError,
    },
    /// The file contradicts the settings.
    #[error(transparent)]
    Mismatch(#[from] SettingsMismatch),
}

/// All errors in an operators' file.
#[derive(Debug, thiserror::Error)]
#[error("{}", self.joined_by("; "))]
pub struct OperatorConfigErrors(pub Vec<OperatorConfigError>);

impl OperatorConfigErrors {
    /// Joins the texts of all errors with a separator.
    pub fn joined_by(&self, separator: &str) -> String {
        let texts: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        texts.join(separator)
    }
}

/// Reads and checks an operators' file.
///
/// # Errors
/// The file cannot be read, or is invalid. All errors of an invalid file are returned.
pub fn read(path: &Path) -> Result<Operator, OperatorConfigErrors> {
    let path = path.display().to_string();
    let text = read_text(&path, MAX_BYTES as u64)
        .map_err(|error| OperatorConfigErrors(vec![error.into()]))?;
    tansymux_operator_config::parse(&text).map_err(|errors| {
        let invalid = errors.iter().map(|error| OperatorConfigError::Invalid {
            path: path.clone(),
            error: error.clone(),
        });
        OperatorConfigErrors(invalid.collect())
    })
}

/// Reads and checks the operators' file if a path is given. Without a path, returns the configuration of an empty file.
///
/// # Errors
/// The same as for [`read`].
pub fn read_optional(path: Option<&Path>) -> Result<Operator, OperatorConfigErrors> {
    path.map_or_else(|| Ok(Operator::default()), read)
}
