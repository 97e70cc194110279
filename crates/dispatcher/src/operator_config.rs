//! The operators' file on disk: read and checked at the start and at SIGHUP, and checked against the settings.
//!
//! A file with any fault is rejected whole.

mod settings_check;

pub use settings_check::{check_against_settings, SettingsMismatch};

use crate::file::{read_text, FileError};
use std::path::Path;
use tansymux_operator_config::{ConfigError, Operator, MAX_BYTES};

/// One reason to reject an operators' file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// It cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// A fault in the file itself.
    #[error("{path}:{error}")]
    Invalid {
        /// The file.
        path: String,
        /// Line, key, what was there and what is allowed.
        error: ConfigError,
    },
    /// It does not go with the settings.
    #[error(transparent)]
    Mismatch(#[from] SettingsMismatch),
}

/// All reasons to reject an operators' file.
#[derive(Debug, thiserror::Error)]
#[error("{}", self.joined_by("; "))]
pub struct OperatorConfigErrors(pub Vec<OperatorConfigError>);

impl OperatorConfigErrors {
    /// Their texts, with a separator between them.
    pub fn joined_by(&self, separator: &str) -> String {
        let texts: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        texts.join(separator)
    }
}

/// Reads and checks a file.
///
/// # Errors
/// The file cannot be read, or has faults: all of them.
pub fn read(path: &Path) -> Result<Operator, OperatorConfigErrors> {
    let path = path.display().to_string();
    let text = read_text(&path, MAX_BYTES as u64)
        .map_err(|error| OperatorConfigErrors(vec![error.into()]))?;
    tansymux_operator_config::parse(&text).map_err(|errors| {
        let mut invalid = Vec::new();
        for error in &errors {
            let path = path.clone();
            invalid.push(OperatorConfigError::Invalid {
                path,
                error: error.clone(),
            });
        }
        OperatorConfigErrors(invalid)
    })
}

/// Reads and checks a file if there is one; else gives what an empty file gives.
///
/// # Errors
/// As [`read`].
pub fn read_optional(path: Option<&Path>) -> Result<Operator, OperatorConfigErrors> {
    path.map_or_else(|| Ok(Operator::default()), read)
}
