//! Reading of text files up to a size limit.

use std::io;

/// An error of reading a file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file is missing, not readable, or not UTF-8.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The file is longer than the limit.
    #[error("{path} is longer than {max_bytes} bytes")]
    TooLong {
        /// The file's path.
        path: String,
        /// The limit in bytes.
        max_bytes: u64,
    },
}

/// Reads the content of a file.
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
