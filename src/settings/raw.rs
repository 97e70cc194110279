//! The flat map of paths and values in which the settings arrive, and the errors of reading it.

use super::keys;
use std::collections::BTreeMap;

/// The settings as they arrive: values by path.
pub type SettingsMap = BTreeMap<String, String>;

/// An error in the settings: a required setting is missing or invalid, or a pair cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The key is missing.
    #[error("setting {key} is missing")]
    Missing {
        /// Path of the setting.
        key: String,
    },
    /// The key has a value that is not allowed.
    #[error("setting {key}={value} is invalid: expected {expected}")]
    Invalid {
        /// Path of the setting.
        key: String,
        /// The value as given.
        value: String,
        /// A description of the allowed values.
        expected: &'static str,
    },
    /// A pair has no `=`.
    #[error("setting {text:?} has no value")]
    NoValue {
        /// The pair as given.
        text: String,
    },
}

/// Accessors for the values in a [`SettingsMap`]. A malformed value counts as absent, except in `required`.
pub trait RawSettings {
    /// The value of a setting as a number.
    fn number(&self, name: &str) -> Option<f64>;
    /// The value of a setting in microseconds, converted to milliseconds.
    fn millis(&self, name: &str) -> Option<f64>;
    /// The value of a required setting as a number.
    ///
    /// # Errors
    /// The setting is missing or not a number.
    fn required(&self, name: &str) -> Result<f64, SettingsError>;
    /// Whether a flag is set, to `true` or `1`.
    fn is_on(&self, name: &str) -> bool;
    /// The non-empty items of a comma-separated list.
    fn list(&self, name: &str) -> Vec<&str>;
    /// The number for an engine kind in the list `name`, which has an item per kind.
    fn number_for_kind(&self, kind: &str, name: &str) -> Option<f64>;
}

impl RawSettings for SettingsMap {
    fn number(&self, name: &str) -> Option<f64> {
        self.get(name)?.parse().ok()
    }

    fn millis(&self, name: &str) -> Option<f64> {
        Some(self.number(name)? / 1000.0)
    }

    fn required(&self, name: &str) -> Result<f64, SettingsError> {
        let Some(value) = self.get(name) else {
            let key = name.to_owned();
            return Err(SettingsError::Missing { key });
        };
        value.parse().map_err(|_| SettingsError::Invalid {
            key: name.to_owned(),
            value: value.clone(),
            expected: "a number",
        })
    }

    fn is_on(&self, name: &str) -> bool {
        self.get(name).is_some_and(|value| is_true(value))
    }

    fn list(&self, name: &str) -> Vec<&str> {
        self.get(name).map_or(Vec::new(), |list| {
            list.split(',').filter(|item| !item.is_empty()).collect()
        })
    }

    fn number_for_kind(&self, kind: &str, name: &str) -> Option<f64> {
        let kinds = self.list(keys::ENGINE_KINDS);
        let index = kinds.iter().position(|known| *known == kind)?;
        self.list(name).get(index)?.parse().ok()
    }
}

/// Adds one setting. Replaces spaces and commas in the value by underscores, as the wire format does.
pub fn insert(map: &mut SettingsMap, path: &str, value: &str) {
    map.insert(path.to_owned(), value.replace([' ', ','], "_"));
}

/// Whether `stored_name`, a value that [`insert`] stored, stands for `name`.
pub fn matches_name(stored_name: &str, name: &str) -> bool {
    let stored_char = |c: char| if matches!(c, ' ' | ',') { '_' } else { c };
    stored_name.chars().eq(name.chars().map(stored_char))
}

/// Adds a list of plain values, joined by commas.
pub fn insert_list(map: &mut SettingsMap, path: &str, values: impl Iterator<Item = String>) {
    let values: Vec<String> = values.map(|value| value.replace([' ', ','], "_")).collect();
    map.insert(path.to_owned(), values.join(","));
}

/// The path of the object at `index` of a list. The setting at [`list_count`] has the number of objects.
pub fn list_item(path: &str, index: usize) -> String {
    format!("{path}.{index}")
}

/// The path of the setting with the number of objects in a list.
pub fn list_count(path: &str) -> String {
    format!("{path}.count")
}

/// Parses settings in flat form: `path=value` pairs, separated by spaces.
///
/// # Errors
/// A pair has no `=`.
pub fn parse_pairs(text: &str) -> Result<SettingsMap, SettingsError> {
    let mut settings = SettingsMap::new();
    for pair in text.split(' ').filter(|pair| !pair.is_empty()) {
        let Some((path, value)) = pair.split_once('=') else {
            let text = pair.to_owned();
            return Err(SettingsError::NoValue { text });
        };
        settings.insert(path.to_owned(), value.to_owned());
    }
    Ok(settings)
}

/// Whether a value means true.
pub fn is_true(value: &str) -> bool {
    matches!(value, "true" | "1")
}
