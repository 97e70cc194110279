//! Collects the errors found by checks, and adds the location of each key.

use crate::error::{ConfigError, ConfigErrorKind};
use crate::source_location::SourceMap;

/// The errors found so far, and the locations of keys in the text.
pub(crate) struct ErrorCollector<'a> {
    source_map: &'a SourceMap,
    errors: Vec<ConfigError>,
}

impl<'a> ErrorCollector<'a> {
    /// A collector without errors.
    pub fn new(source_map: &'a SourceMap) -> Self {
        ErrorCollector {
            source_map,
            errors: Vec::new(),
        }
    }

    /// Adds the error that the value of `key` is `found`; `allowed` describes the allowed values.
    pub fn add(&mut self, key: &str, found: impl Into<String>, allowed: impl Into<String>) {
        self.errors.push(ConfigError {
            location: self.source_map.nearest_location(key),
            key: key.to_owned(),
            kind: ConfigErrorKind::NotAllowed {
                found: found.into(),
                allowed: allowed.into(),
            },
        });
    }

    /// Adds an error for a missing value.
    pub fn add_missing(&mut self, key: &str, allowed: impl Into<String>) {
        self.add(key, "missing", allowed);
    }

    /// Adds an error if a number is given and is outside `min` to `max`, or NaN.
    pub fn check_range(&mut self, key: &str, value: Option<impl Into<f64>>, min: f64, max: f64) {
        let Some(value) = value.map(Into::into) else {
            return;
        };
        if !(min..=max).contains(&value) {
            self.add(key, value.to_string(), format!("{min} to {max}"));
        }
    }

    /// Whether there are no errors so far.
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// The errors in the order in which they were found.
    pub fn into_errors(self) -> Vec<ConfigError> {
        self.errors
    }
}
