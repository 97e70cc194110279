//! What is wrong with an operators' file, and where.

use crate::MAX_BYTES;
use std::fmt;

/// A place in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}", self.line, self.column)
    }
}

/// What is wrong.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ConfigErrorKind {
    /// The file is longer than [`MAX_BYTES`].
    #[error("the file is longer than {MAX_BYTES} bytes")]
    FileTooLong,
    /// Messages are nested more deeply than any schema of tansymux.
    #[error("messages are nested too deeply")]
    NestedTooDeeply,
    /// The text does not follow the schema: an unknown name, a wrong type, a field given twice, a missing bracket.
    #[error("{message}")]
    Syntax {
        /// The text-format parser's message.
        message: String,
    },
    /// The compiled schema can't be used. This is a defect of the program and not of the file.
    #[error("{message}")]
    Schema {
        /// The library's message.
        message: String,
    },
    /// A value is outside its range, missing, repeated, or refers to something that does not exist.
    #[error("is {found}, allowed is {allowed}")]
    NotAllowed {
        /// What was there.
        found: String,
        /// What is allowed there.
        allowed: String,
    },
}

/// One error of the file.
///
/// Displayed as in `12:3: statements.cache.shapes is 3, allowed is 16 to 1000000`.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct ConfigError {
    /// Where it is; `None` if it concerns the file as a whole.
    pub location: Option<SourceLocation>,
    /// The key, as in `statements.rule.1.class`; empty if it is unknown.
    pub key: String,
    /// What is wrong.
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

/// All errors of a file, in the order of their locations. There is at least one.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Sorts errors by location; those of one location keep their order. `None` if there are none.
    pub(crate) fn sorted(mut errors: Vec<ConfigError>) -> Option<Self> {
        if errors.is_empty() {
            return None;
        }
        errors.sort_by_key(|error| error.location);
        Some(ConfigErrors(errors))
    }

    /// An error that concerns the file as a whole.
    pub(crate) fn of_file(kind: ConfigErrorKind) -> Self {
        ConfigErrors(vec![ConfigError {
            location: None,
            key: String::new(),
            kind,
        }])
    }

    /// An error at a place of the file; `key` may be empty.
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
    /// The errors, separated by semicolons.
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        for (index, error) in self.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(formatter, "{separator}{error}")?;
        }
        Ok(())
    }
}
