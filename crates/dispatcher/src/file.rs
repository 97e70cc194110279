//! Reads text files up to a size limit.

use std::io;

/// Why a file was not read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It is not there, may not be read, or is not UTF-8.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// It is longer than its limit.
    #[error("{path} is longer than {max_bytes} bytes")]
    TooLong {
        /// The file.
        path: String,
        /// The limit.
        max_bytes: u64,
    },
}

/// Reads a whole file.
///
/// # Errors
/// The file cannot be read as UTF-8, or is longer than `max_bytes`.
pub fn read_text(path: &str, max_bytes: u64) -> Result<String, FileError> {
    let unreadable = |source| FileError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let size = std::fs::metadata(path).map_err(unreadable)?.len();
    if size > max_bytes {
        return Err(FileError::TooLong {
            path: path.to_owned(),
            max_bytes,
        });
    }
    std::fs::read_to_string(path).map_err(unreadable)
}
