//! What is wrong with a configuration: the key, what was there, what is allowed, and the line.

use super::source_lines;
use crate::file::FileError;
use std::fmt;

/// One fault of a configuration. All of a file are reported at once.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{}{}{problem}", LinePrefix(*line), KeyPrefix(key))]
pub struct ConfigError {
    /// Line in the file, from 1. A syntax error knows it; for other faults [`locate`] finds it.
    pub line: Option<usize>,
    /// Path of the key, as in `known.cmds.0.nodes`; empty where the file as a whole is meant.
    pub key: String,
    /// What is wrong there.
    pub problem: Problem,
}

/// What is wrong at one place of a configuration.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The text is JSON, but not an object.
    #[error("the configuration is not an object")]
    NotAnObject,
    /// A required key is not there.
    #[error("is missing, expected {expected}")]
    Missing {
        /// What is allowed there.
        expected: String,
    },
    /// The value is not one that is allowed.
    #[error("is {found}, expected {expected}")]
    Invalid {
        /// What was there, as JSON.
        found: String,
        /// What is allowed there.
        expected: String,
    },
    /// An environment variable that stands for a key cannot be used.
    #[error("environment variable {variable} is {found:?}, expected {expected}")]
    InvalidVariable {
        /// Its name.
        variable: &'static str,
        /// Its value.
        found: String,
        /// What is allowed there.
        expected: &'static str,
    },
}

impl ConfigError {
    /// A fault of the file as a whole.
    pub fn of_file(problem: Problem) -> Self {
        ConfigError {
            line: None,
            key: String::new(),
            problem,
        }
    }

    /// A fault of one key.
    pub fn of_key(key: impl Into<String>, problem: Problem) -> Self {
        ConfigError {
            line: None,
            key: key.into(),
            problem,
        }
    }
}

/// `line 3: `, or nothing.
struct LinePrefix(Option<usize>);

impl fmt::Display for LinePrefix {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(line) => write!(formatter, "line {line}: "),
            None => Ok(()),
        }
    }
}

/// `key limits.sockets `, or nothing.
struct KeyPrefix<'a>(&'a str);

impl fmt::Display for KeyPrefix<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return Ok(());
        }
        write!(formatter, "key {} ", self.0)
    }
}

/// Gives each error the line of its key, or that of the nearest key above it that is there.
pub fn locate(mut errors: Vec<ConfigError>, text: &str) -> Vec<ConfigError> {
    let lines = source_lines::find(text);
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

/// Why the startup configuration was not read.
#[derive(Debug, thiserror::Error)]
pub enum StartupConfigError {
    /// The environment does not name the file.
    #[error("{variable} is not set")]
    NoFile {
        /// The variable that should.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[error("{variable} {source}")]
    File {
        /// The variable that names the file.
        variable: &'static str,
        /// What is wrong with it.
        source: FileError,
    },
    /// The file has faults.
    #[error("{path}: {}", join(errors))]
    Invalid {
        /// The file.
        path: String,
        /// All of them, with their lines.
        errors: Vec<ConfigError>,
    },
}

fn join(errors: &[ConfigError]) -> String {
    let texts: Vec<String> = errors.iter().map(ConfigError::to_string).collect();
    texts.join("; ")
}
