//! Errors of a configuration: the key, the value found, the expected values, and the line.

use super::source_lines;
use crate::file::FileError;
use std::fmt;

/// One error of a configuration. All errors of a file are reported at once.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{}{}{problem}", LinePrefix(*line), KeyPrefix(key))]
pub struct ConfigError {
    /// Line in the file, counted from 1. Set for syntax errors; [`with_line_numbers`] adds it to others.
    pub line: Option<usize>,
    /// Path of the key, as in `known.cmds.0.nodes`; empty for an error of the whole file.
    pub key: String,
    /// The problem of the key, or of the whole file.
    pub problem: Problem,
}

/// The problem of one key, or of the whole file.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The text is JSON, but not an object.
    #[error("the configuration is not an object")]
    NotAnObject,
    /// A required key is missing.
    #[error("is missing, expected {expected}")]
    Missing {
        /// The allowed values.
        expected: String,
    },
    /// The value is not allowed.
    #[error("is {found}, expected {expected}")]
    Invalid {
        /// The value, as JSON.
        found: String,
        /// The allowed values.
        expected: String,
    },
    /// The value of an environment variable that overrides a key is not allowed.
    #[error("environment variable {variable} is {found:?}, expected {expected}")]
    InvalidVariable {
        /// The variable's name.
        variable: &'static str,
        /// The variable's value.
        found: String,
        /// The allowed values.
        expected: &'static str,
    },
}

impl ConfigError {
    /// An error of the whole file.
    pub fn of_file(problem: Problem) -> Self {
        ConfigError {
            line: None,
            key: String::new(),
            problem,
        }
    }

    /// An error of one key.
    pub fn of_key(key: impl Into<String>, problem: Problem) -> Self {
        ConfigError {
            line: None,
            key: key.into(),
            problem,
        }
    }
}

/// Displays as `line 3: `; empty for `None`.
struct LinePrefix(Option<usize>);

impl fmt::Display for LinePrefix {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(line) => write!(formatter, "line {line}: "),
            None => Ok(()),
        }
    }
}

/// Displays as `key limits.sockets `; empty for an empty key.
struct KeyPrefix<'a>(&'a str);

impl fmt::Display for KeyPrefix<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return Ok(());
        }
        write!(formatter, "key {} ", self.0)
    }
}

/// Adds to each error the line of its key; if the key is not in the file, the line of its nearest parent key.
pub fn with_line_numbers(mut errors: Vec<ConfigError>, text: &str) -> Vec<ConfigError> {
    let lines = source_lines::find_key_lines(text);
    for error in &mut errors {
        if error.line.is_some() || error.key.is_empty() {
            continue;
        }
        let mut key = error.key.as_str();
        error.line = loop {
            if let Some(&line) = lines.get(key) {
                break Some(line);
            }
            match key.rsplit_once('.') {
                Some((parent, _)) => key = parent,
                None => break Some(1),
            }
        };
    }
    errors
}

/// An error of reading the startup configuration.
#[derive(Debug, thiserror::Error)]
pub enum StartupConfigError {
    /// The environment variable that names the file is not set.
    #[error("{variable} is not set")]
    NoFile {
        /// The variable's name.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[error("{variable} {source}")]
    File {
        /// The variable that names the file.
        variable: &'static str,
        /// The cause.
        source: FileError,
    },
    /// The file is invalid.
    #[error("{path}: {}", joined_texts(errors))]
    Invalid {
        /// The file's path.
        path: String,
        /// All errors of the file, with their lines.
        errors: Vec<ConfigError>,
    },
}

fn joined_texts(errors: &[ConfigError]) -> String {
    let texts: Vec<String> = errors.iter().map(ConfigError::to_string).collect();
    texts.join("; ")
}
