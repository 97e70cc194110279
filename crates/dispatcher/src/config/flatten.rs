//! Conversion of the nested `settings` object into the flat map that the admission controller reads.

use serde_json::Value;
use tansymux::settings::{self, SettingsMap};

/// Adds `value` and all values nested in it to the map. A nested object gives keys such as `a.b`, and a list of objects
/// `a.0.b` and `a.count`. A list of plain values becomes one comma-separated value. `null` adds nothing.
pub(super) fn flatten(path: &str, value: &Value, map: &mut SettingsMap) {
    match value {
        Value::Object(entries) => {
            for (key, value) in entries {
                if path.is_empty() {
                    flatten(key, value, map);
                } else {
                    flatten(&format!("{path}.{key}"), value, map);
                }
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let count = items.len().to_string();
            settings::insert(map, &settings::list_count(path), &count);
            for (index, item) in items.iter().enumerate() {
                flatten(&settings::list_item(path, index), item, map);
            }
        }
        Value::Array(items) => settings::insert_list(map, path, items.iter().map(plain_text)),
        Value::Null => {}
        other => settings::insert(map, path, &plain_text(other)),
    }
}

/// The text of a value: a string without its quotes, or the JSON of any other value.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
