//! The settings of an experiment's dispatchers.

use super::NOTE_INTERVAL_MS;
use crate::schema::{Class, Experiment};
use tansymux::settings::{keys, SettingsMap};

/// Memory of an engine (MB), sufficient for all queries.
const ENGINE_MEMORY_MB: &str = "100000";
/// Maximum number of attempts of a query, including the first attempt.
const MAX_ATTEMPTS: &str = "3";
/// Maximum retry-after time that clients follow (us).
const MAX_RETRY_AFTER_US: &str = "4000000";
/// Span of the retry budget (us).
const RETRY_BUDGET_SPAN_US: &str = "10000000";
/// Number of retries that are always allowed within the span.
const RETRY_BUDGET_FREE: &str = "10";
/// Number of additional retries per query that arrived within the span.
const RETRY_BUDGET_RATIO: &str = "0.2";
/// Value of an enabled setting.
const ENABLED: &str = "1";

/// Creates the settings of a dispatcher in a zone.
pub(super) fn dispatcher_settings(experiment: &Experiment, zone: &str) -> SettingsMap {
    let mut map = SettingsMap::new();
    let mut insert = |key: &str, value: String| drop(map.insert(key.to_owned(), value));
    let by_class = |value: fn(&Class) -> String| {
        let values: Vec<String> = experiment.class.iter().map(value).collect();
        values.join(",")
    };
    let cores = experiment.hall[0].cores().to_string();
    let threads = by_class(|class| class.threads().to_string());
    let loads = by_class(|class| u8::from(class.changes()).to_string());
    let note_interval_us = (NOTE_INTERVAL_MS * 1000.0).to_string();
    insert(keys::DISPATCHERS, experiment.dispatchers().to_string());
    insert(keys::LOCAL_ZONE, zone.to_owned());
    insert(keys::ENGINE_KINDS, "std".into());
    insert(keys::CORES_BY_KIND, cores);
    insert(keys::MEMORY_MB_BY_KIND, ENGINE_MEMORY_MB.into());
    insert(keys::THREADS_BY_GROUP, threads);
    insert(keys::IS_LOAD_BY_GROUP, loads);
    insert(keys::PROGRESS_INTERVAL_US, note_interval_us);
    insert(keys::MAX_ATTEMPTS, MAX_ATTEMPTS.into());
    insert(keys::CANCELLATION, ENABLED.into());
    insert(keys::HEALTH_CHECKS, ENABLED.into());
    insert(keys::MAX_RETRY_AFTER_US, MAX_RETRY_AFTER_US.into());
    insert(keys::RETRY_BUDGET_SPAN_US, RETRY_BUDGET_SPAN_US.into());
    insert(keys::RETRY_BUDGET_FREE, RETRY_BUDGET_FREE.into());
    insert(keys::RETRY_BUDGET_RATIO, RETRY_BUDGET_RATIO.into());
    add_warm_up_settings(&mut map, experiment);
    add_groups(&mut map, &experiment.class);
    map
}

fn add_warm_up_settings(map: &mut SettingsMap, experiment: &Experiment) {
    let cold = experiment.cold.unwrap_or_default();
    let mut insert = |key: &str, value: f64| drop(map.insert(key.to_owned(), value.to_string()));
    insert(keys::WARM_UP_MULTIPLE, cold.multiple());
    insert(keys::WARM_UP_INITIAL_CAPACITY, cold.from());
    insert(keys::WARM_UP_SPAN_US, cold.span_ms() * 1000.0);
    insert(keys::WARM_AFTER_US, cold.warm_s() * 1e6);
}

/// Adds a resource group for each class of the experiment.
fn add_groups(map: &mut SettingsMap, classes: &[Class]) {
    let count = classes.len().to_string();
    map.insert(format!("{}.count", keys::GROUPS), count);
    for (index, class) in classes.iter().enumerate() {
        add_group(map, index, class);
    }
}

fn add_group(map: &mut SettingsMap, index: usize, class: &Class) {
    let mut insert = |key: &str, value: String| {
        drop(map.insert(format!("{}.{index}.{key}", keys::GROUPS), value));
    };
    let effect = if class.changes() {
        keys::effect::NON_IDEMPOTENT
    } else {
        keys::effect::READ_ONLY
    };
    insert(keys::group::NAME, class.name().to_owned());
    insert(keys::group::EFFECT, effect.into());
    let objective_us = class.target_ms() * 1000.0;
    insert(keys::group::OBJECTIVE_US, objective_us.to_string());
    if let Some(zone) = &class.bound_to {
        insert(keys::group::ZONES, zone.clone());
    }
}
