//! The settings that an experiment's dispatchers run with.

use super::NOTE_INTERVAL_MS;
use crate::schema::{Class, Experiment};
use tansymux::settings::SettingsMap;

/// The settings of a dispatcher in a zone.
pub(super) fn dispatcher_settings(experiment: &Experiment, zone: &str) -> SettingsMap {
    let mut map = SettingsMap::new();
    let mut put = |name: &str, value: String| drop(map.insert(name.to_owned(), value));
    let by_class = |value: fn(&Class) -> String| {
        let values: Vec<String> = experiment.class.iter().map(value).collect();
        values.join(",")
    };
    put("balancers", experiment.dispatchers().to_string());
    put("zone", zone.to_owned());
    put("kinds", "std".into());
    put(
        "family-info.cores-by-kind",
        experiment.hall[0].cores().to_string(),
    );
    put("family-info.kind-memory-mb", "100000".into());
    put(
        "family-info.dop",
        by_class(|class| class.threads().to_string()),
    );
    put(
        "family-info.class-load",
        by_class(|class| u8::from(class.changes()).to_string()),
    );
    put(
        "family-info.tells-every-us",
        (NOTE_INTERVAL_MS * 1000.0).to_string(),
    );
    put("limits.max-attempts", "3".into());
    put("limits.cancelling", "1".into());
    put("limits.probes", "1".into());
    put("limits.max-retry-after-us", "4000000".into());
    put("rules.ratio-span-us", "10000000".into());
    put("rules.extra-free", "10".into());
    put("rules.repeat-ratio", "0.2".into());
    put("services.count", experiment.class.len().to_string());
    add_warm_up_settings(&mut map, experiment);
    for (n, class) in experiment.class.iter().enumerate() {
        add_class_settings(&mut map, n, class);
    }
    map
}

fn add_warm_up_settings(map: &mut SettingsMap, experiment: &Experiment) {
    let cold = experiment.cold.unwrap_or_default();
    let mut put = |name: &str, value: f64| drop(map.insert(name.to_owned(), value.to_string()));
    put("rules.fall-multiple", cold.multiple());
    put("rules.cold-from", cold.from());
    put("rules.overload-for-us", cold.span_ms() * 1000.0);
    put("rules.warm-after-us", cold.warm_s() * 1e6);
}

fn add_class_settings(map: &mut SettingsMap, number: usize, class: &Class) {
    let mut put = |name: &str, value: String| {
        drop(map.insert(format!("services.{number}.{name}"), value));
    };
    let effect = if class.changes() {
        "non_idempotent"
    } else {
        "read_like"
    };
    put("name", class.name().to_owned());
    put("effect", effect.into());
    put("aim-us", (class.target_ms() * 1000.0).to_string());
    if let Some(zone) = &class.bound_to {
        put("confined-to", zone.clone());
    }
}
