//! Errors of an operators' file, with their locations.

use crate::MAX_BYTES;
use std::fmt;

/// A location in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}", self.line, self.column)
    }
}

/// The kind of an error.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ConfigErrorKind {
    /// The file is longer than [`MAX_BYTES`].
    #[error("the file is longer than {MAX_BYTES} bytes")]
    FileTooLong,
    /// Messages are nested more deeply than any file of this schema needs.
    #[error("messages are nested too deeply")]
    NestedTooDeeply,
    /// The text does not match the schema: an unknown name, a wrong type, a repeated field, a missing bracket.
    #[error("{message}")]
    Syntax {
        /// The text-format parser's message.
        message: String,
    },
    /// The compiled schema is unusable: a bug in the program, not an error in the file.
    #[error("{message}")]
    Schema {
        /// The library's message.
        message: String,
    },
    /// A value is outside its range, missing, repeated, or refers to something that does not exist.
    #[error("is {found}, allowed is {allowed}")]
    NotAllowed {
        /// The value found.
        found: String,
        /// The values allowed.
        allowed: String,
    },
}

/// One error of the file.
///
/// Displayed as in `12:3: statements.cache.shapes is 3, allowed is 16 to 1000000`.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct ConfigError {
    /// The error's location; `None` for an error of the entire file.
    pub location: Option<SourceLocation>,
    /// The key, as in `statements.rule.1.class`; empty if unknown.
    pub key: String,
    /// The kind of the error.
    pub kind: ConfigErrorKind,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if let Some(location) = self.location {
            write!(formatter, "{location}: ")?;
        }
        if self.key.is_empty() {
            return write!(formatter, "{}", self.kind);
        }
        match self.kind {
            ConfigErrorKind::NotAllowed { .. } => write!(formatter, "{} {}", self.key, self.kind),
            _ => write!(formatter, "{}: {}", self.key, self.kind),
        }
    }
}

/// All errors of a file, at least one, in the order of their locations.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Sorts errors by location, in a stable order; `None` if there are none.
    pub(crate) fn sorted(mut errors: Vec<ConfigError>) -> Option<Self> {
        if errors.is_empty() {
            return None;
        }
        errors.sort_by_key(|error| error.location);
        Some(ConfigErrors(errors))
    }

    /// An error of the entire file.
    pub(crate) fn of_file(kind: ConfigErrorKind) -> Self {
        ConfigErrors(vec![ConfigError {
            location: None,
            key: String::new(),
            kind,
        }])
    }

    /// An error at a location; `key` may be empty.
    pub(crate) fn at(location: SourceLocation, key: String, kind: ConfigErrorKind) -> Self {
        ConfigErrors(vec![ConfigError {
            location: Some(location),
            key,
            kind,
        }])
    }

    /// The errors in the order of their locations.
    pub fn iter(&self) -> std::slice::Iter<'_, ConfigError> {
        self.0.iter()
    }
}

impl<'a> IntoIterator for &'a ConfigErrors {
    type Item = &'a ConfigError;
    type IntoIter = std::slice::Iter<'a, ConfigError>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for ConfigErrors {
    /// Writes the errors, separated by semicolons.
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        for (index, error) in self.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(formatter, "{separator}{error}")?;
        }
        Ok(())
    }
}
