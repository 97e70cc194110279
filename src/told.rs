//! Reads values out of the plain map of settings. Knows no setting's name or meaning.

use std::collections::BTreeMap;

pub type Map = BTreeMap<String, String>;

pub fn number(told: &Map, name: &str) -> Option<f64> {
    told.get(name)?.parse().ok()
}

/// A time that is told in microseconds, as milliseconds.
pub fn millis(told: &Map, name: &str) -> Option<f64> {
    Some(number(told, name)? / 1000.0)
}

pub fn required(told: &Map, name: &str) -> Result<f64, String> {
    let text = told.get(name).ok_or_else(|| format!("setting {name} is missing"))?;
    text.parse().map_err(|_| format!("setting {name}={text} is not a number"))
}

pub fn on(told: &Map, name: &str) -> bool {
    told.get(name).is_some_and(|v| is_true(v))
}

pub fn is_true(value: &str) -> bool {
    matches!(value, "true" | "1")
}

pub fn list<'a>(told: &'a Map, name: &str) -> Vec<&'a str> {
    told.get(name).map_or(Vec::new(), |v| v.split(',').filter(|s| !s.is_empty()).collect())
}

/// A number of the list `name`, which holds one for each of the kinds.
pub fn of_kind(told: &Map, kind: &str, name: &str) -> Option<f64> {
    let place = list(told, "kinds").iter().position(|k| *k == kind)?;
    list(told, name).get(place)?.parse().ok()
}
