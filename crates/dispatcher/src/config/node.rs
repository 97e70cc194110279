//! Typed access to JSON values. Each value has its path of keys, so that errors can name the key.

use super::error::{ConfigError, Problem};
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// A value of the configuration and its path. A missing value has a path, too.
pub struct Node<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Node<'a> {
    /// The root of the configuration, with an empty path.
    pub fn root(value: &'a Value) -> Self {
        Node {
            path: String::new(),
            value: Some(value),
        }
    }

    /// The value of a key; `null` counts as missing.
    pub fn child(&self, key: &str) -> Node<'a> {
        let path = if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        };
        let value = self.value.and_then(|value| value.get(key));
        Node {
            path,
            value: value.filter(|value| !value.is_null()),
        }
    }

    /// The value at a path of keys that are separated by dots.
    pub fn descendant(&self, path: &str) -> Node<'a> {
        let mut keys = path.split('.');
        let first = self.child(keys.next().unwrap_or_default());
        keys.fold(first, |node, key| node.child(key))
    }

    /// Whether the value is missing.
    pub fn is_missing(&self) -> bool {
        self.value.is_none()
    }

    /// The error for this value: its path, the value found and the expected values.
    pub fn error(&self, expected: impl Into<String>) -> ConfigError {
        let expected = expected.into();
        let problem = match self.value {
            None => Problem::Missing { expected },
            Some(value) => Problem::Invalid {
                found: value.to_string(),
                expected,
            },
        };
        ConfigError::of_key(self.path.clone(), problem)
    }

    /// A string.
    pub fn text(&self) -> Result<&'a str, ConfigError> {
        self.value
            .and_then(Value::as_str)
            .ok_or_else(|| self.error("a text"))
    }

    /// A number.
    pub fn number(&self) -> Result<f64, ConfigError> {
        self.value
            .and_then(Value::as_f64)
            .ok_or_else(|| self.error("a number"))
    }

    /// A number of at least `min`, or `default` if the value is missing.
    pub fn number_or(&self, default: f64, min: f64) -> Result<f64, ConfigError> {
        if self.is_missing() {
            return Ok(default);
        }
        let number = self.number()?;
        if number >= min {
            Ok(number)
        } else {
            Err(self.error(format!("at least {min}")))
        }
    }

    /// The items of a list. The path of each ends in its index.
    pub fn items(&self) -> Result<Vec<Node<'a>>, ConfigError> {
        let items = self
            .value
            .and_then(Value::as_array)
            .ok_or_else(|| self.error("a list"))?;
        let mut nodes = Vec::with_capacity(items.len());
        for (index, value) in items.iter().enumerate() {
            nodes.push(Node {
                path: format!("{}.{index}", self.path),
                value: Some(value),
            });
        }
        Ok(nodes)
    }

    /// An object.
    pub fn object(&self) -> Result<&'a Map<String, Value>, ConfigError> {
        self.value
            .and_then(Value::as_object)
            .ok_or_else(|| self.error("an object"))
    }

    /// An IP address with a port.
    pub fn address(&self) -> Result<SocketAddr, ConfigError> {
        self.text()?
            .parse()
            .map_err(|_| self.error("an address with a port"))
    }

    /// The result of `read`, or `None` if the value is missing.
    pub fn optional<T>(
        &self,
        read: impl FnOnce(&Self) -> Result<T, ConfigError>,
    ) -> Result<Option<T>, ConfigError> {
        match self.value {
            Some(_) => read(self).map(Some),
            None => Ok(None),
        }
    }
}

/// Collects the errors of all keys, so that they are reported together.
#[derive(Default)]
pub struct ErrorCollector {
    errors: Vec<ConfigError>,
}

impl ErrorCollector {
    /// The value of a result, or `None` for an error, which is collected.
    pub fn ok_or_collect<T>(&mut self, result: Result<T, ConfigError>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.push(error);
                None
            }
        }
    }

    /// Adds an error.
    pub fn push(&mut self, error: ConfigError) {
        self.errors.push(error);
    }

    /// A number of at least `min`, or `default` if the value is missing or invalid; the error of an invalid value is
    /// collected.
    pub fn number_or(&mut self, node: &Node, default: f64, min: f64) -> f64 {
        self.ok_or_collect(node.number_or(default, min))
            .unwrap_or(default)
    }

    /// All errors, in the order in which they were added.
    pub fn into_errors(self) -> Vec<ConfigError> {
        self.errors
    }
}
