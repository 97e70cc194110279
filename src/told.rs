//! Reads values out of the plain map of settings. Knows no setting's name or meaning.

use std::collections::BTreeMap;

pub type Map = BTreeMap<String, String>;

pub trait Told {
    fn number(&self, name: &str) -> Option<f64>;
    /// A time that is told in microseconds, as milliseconds.
    fn millis(&self, name: &str) -> Option<f64>;
    fn required(&self, name: &str) -> Result<f64, String>;
    fn on(&self, name: &str) -> bool;
    fn list(&self, name: &str) -> Vec<&str>;
    /// A number of the list `name`, which holds one for each of the kinds.
    fn of_kind(&self, kind: &str, name: &str) -> Option<f64>;
}

impl Told for Map {
    fn number(&self, name: &str) -> Option<f64> {
        self.get(name)?.parse().ok()
    }

    fn millis(&self, name: &str) -> Option<f64> {
        Some(self.number(name)? / 1000.0)
    }

    fn required(&self, name: &str) -> Result<f64, String> {
        let text = self
            .get(name)
            .ok_or_else(|| format!("setting {name} is missing"))?;
        text.parse()
            .map_err(|_| format!("setting {name}={text} is not a number"))
    }

    fn on(&self, name: &str) -> bool {
        self.get(name).is_some_and(|v| is_true(v))
    }

    fn list(&self, name: &str) -> Vec<&str> {
        self.get(name).map_or(Vec::new(), |v| {
            v.split(',').filter(|s| !s.is_empty()).collect()
        })
    }

    fn of_kind(&self, kind: &str, name: &str) -> Option<f64> {
        let place = self.list("kinds").iter().position(|k| *k == kind)?;
        self.list(name).get(place)?.parse().ok()
    }
}

/// Takes in one setting: spaces and commas within a value are replaced, as on the wire.
pub fn put(map: &mut Map, path: &str, value: &str) {
    map.insert(path.to_owned(), value.replace([' ', ','], "_"));
}

/// Whether `known`, as it was put in, is this name.
pub fn is_named(known: &str, name: &str) -> bool {
    let put = |c: char| if matches!(c, ' ' | ',') { '_' } else { c };
    known.chars().eq(name.chars().map(put))
}

/// Takes in a list of plain values, joined with commas.
pub fn put_list(map: &mut Map, path: &str, values: impl Iterator<Item = String>) {
    let values: Vec<String> = values.map(|value| value.replace([' ', ','], "_")).collect();
    map.insert(path.to_owned(), values.join(","));
}

/// The path of the `i`-th object of a list; their number stands under `count_of`.
pub fn item_of(path: &str, i: usize) -> String {
    format!("{path}.{i}")
}

pub fn count_of(path: &str) -> String {
    format!("{path}.count")
}

/// Reads settings that are already flat: pairs of path and value, set apart by spaces.
pub fn read_pairs(text: &str) -> Result<Map, String> {
    let pairs = text.split(' ').filter(|pair| !pair.is_empty());
    pairs
        .map(|pair| {
            pair.split_once('=')
                .ok_or_else(|| format!("setting {pair:?} has no value"))
        })
        .map(|pair| pair.map(|(path, value)| (path.to_owned(), value.to_owned())))
        .collect()
}

pub fn is_true(value: &str) -> bool {
    matches!(value, "true" | "1")
}
