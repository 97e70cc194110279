//! Reads the settings from the flat map in which they arrive.

use super::keys;
use super::raw::{is_true, list_count, list_item, RawSettings, SettingsError, SettingsMap};
use super::types::{
    Capabilities, DedupScope, Effect, EngineFeatures, EngineKind, GroupSettings, RetryBudgetRule,
    Settings, TenantSettings, WarmUpRule, MAX_ATTEMPTS,
};

impl Settings {
    /// Reads the settings from the flat map.
    ///
    /// # Errors
    /// A required key is missing or invalid: `services.count`, each group's `name`, `effect`
    /// and `aim-us`, and `balancers`.
    pub fn read(raw: &SettingsMap) -> Result<Self, SettingsError> {
        let groups = read_groups(raw)?;
        let dispatchers = raw.required(keys::DISPATCHERS)?.max(1.0);
        let max_attempts = raw.number(keys::MAX_ATTEMPTS).unwrap_or(1.0) as usize;
        Ok(Settings {
            dispatchers,
            dispatcher_index: raw.number(keys::DISPATCHER_INDEX).unwrap_or(0.0) as u32,
            local_zone: raw.get(keys::LOCAL_ZONE).cloned(),
            groups,
            tenants: read_tenants(raw),
            engine_kinds: read_kinds(raw),
            capabilities: Capabilities {
                cancellation: raw.is_on(keys::CANCELLATION),
                health_checks: raw.is_on(keys::HEALTH_CHECKS),
                peer_messages: raw.is_on(keys::PEER_MESSAGES),
            },
            engine_features: EngineFeatures {
                priorities: raw.is_on(keys::SUPPORTS_PRIORITIES),
                pages_memory: has_value(raw, keys::MEMORY_SHORTAGE, keys::MEMORY_SHORTAGE_PAGES),
                note_interval_ms: raw.millis(keys::PROGRESS_INTERVAL_US).unwrap_or(0.0),
            },
            max_attempts: max_attempts.min(MAX_ATTEMPTS),
            max_retry_after_ms: raw.millis(keys::MAX_RETRY_AFTER_US).unwrap_or(0.0),
            warm_up: read_warm_up(raw),
            key_cooldown_ms: raw.millis(keys::KEY_COOLDOWN_US).unwrap_or(0.0),
            retry_budget: read_retry_budget(raw),
            endpoints_on_request: has_value(
                raw,
                keys::ENDPOINT_LIST_MODE,
                keys::ENDPOINT_LIST_ON_REQUEST,
            ),
        })
    }
}

fn has_value(raw: &SettingsMap, key: &str, expected: &str) -> bool {
    raw.get(key).is_some_and(|value| value == expected)
}

fn read_groups(raw: &SettingsMap) -> Result<Vec<GroupSettings>, SettingsError> {
    let count = raw.required(&list_count(keys::GROUPS))? as usize;
    (0..count).map(|index| read_group(raw, index)).collect()
}

fn read_group(raw: &SettingsMap, index: usize) -> Result<GroupSettings, SettingsError> {
    let key = |field: &str| format!("{}.{field}", list_item(keys::GROUPS, index));
    let effect = read_effect(raw, key(keys::group::EFFECT))?;
    let objective_ms = raw.required(&key(keys::group::OBJECTIVE_US))? / 1000.0;
    let name = raw.get(&key(keys::group::NAME)).cloned();
    let Some(name) = name else {
        let key = key(keys::group::NAME);
        return Err(SettingsError::Missing { key });
    };
    let millis = |field: &str| raw.millis(&key(field)).unwrap_or(0.0);
    Ok(GroupSettings {
        name,
        effect,
        dedup_scope: read_dedup_scope(raw, &key(keys::group::DEDUP_SCOPE)),
        dedup_window_ms: millis(keys::group::DEDUP_WINDOW_US),
        is_ordered_by_key: raw.is_on(&key(keys::group::ORDERED_BY_KEY)),
        zones: read_names(raw, &key(keys::group::ZONES)),
        kinds: read_names(raw, &key(keys::group::ENGINE_KINDS)),
        objective_ms,
        objective_stretch: raw
            .number(&key(keys::group::OBJECTIVE_STRETCH))
            .unwrap_or(0.0),
        usual_timeout_ms: millis(keys::group::USUAL_TIMEOUT_US),
        threads: read_threads(raw, index),
        is_load: is_on_for_group(raw, keys::IS_LOAD_BY_GROUP, index),
        waits_for_loads: is_on_for_group(raw, keys::WAITS_FOR_LOADS_BY_GROUP, index),
    })
}

/// The names in a comma-separated list, including empty names; `None` if the setting is missing.
fn read_names(raw: &SettingsMap, key: &str) -> Option<Vec<String>> {
    let names = raw.get(key)?;
    Some(names.split(',').map(str::to_owned).collect())
}

fn read_dedup_scope(raw: &SettingsMap, key: &str) -> DedupScope {
    match raw.get(key).map(String::as_str) {
        Some(keys::dedup_scope::ZONE) => DedupScope::Zone,
        Some(keys::dedup_scope::CELL) => DedupScope::Cell,
        _ => DedupScope::All,
    }
}

fn read_threads(raw: &SettingsMap, group: usize) -> f64 {
    let by_group = raw.list(keys::THREADS_BY_GROUP);
    let threads = by_group.get(group).and_then(|value| value.parse().ok());
    threads.unwrap_or(1.0_f64).max(1.0)
}

/// Whether the flag of a group is set in the list `key`, which has an item per group.
fn is_on_for_group(raw: &SettingsMap, key: &str, group: usize) -> bool {
    let by_group = raw.list(key);
    by_group.get(group).is_some_and(|value| is_true(value))
}

fn read_effect(raw: &SettingsMap, key: String) -> Result<Effect, SettingsError> {
    match raw.get(&key).map(String::as_str) {
        Some(keys::effect::READ_ONLY) => Ok(Effect::ReadOnly),
        Some(keys::effect::IDEMPOTENCY_KEY) => Ok(Effect::IdempotencyKey),
        Some(keys::effect::NON_IDEMPOTENT) => Ok(Effect::NonIdempotent),
        Some(other) => Err(SettingsError::Invalid {
            value: other.to_owned(),
            key,
            expected: "read_like, idempotency_key or non_idempotent",
        }),
        None => Err(SettingsError::Missing { key }),
    }
}

fn read_tenants(raw: &SettingsMap) -> Vec<TenantSettings> {
    let count = raw.number(&list_count(keys::TENANTS)).unwrap_or(0.0) as usize;
    (0..count).map(|index| read_tenant(raw, index)).collect()
}

fn read_tenant(raw: &SettingsMap, index: usize) -> TenantSettings {
    let key = |field: &str| format!("{}.{field}", list_item(keys::TENANTS, index));
    let name = raw.get(&key(keys::tenant::NAME)).cloned();
    let quota_per_s = raw.number(&key(keys::tenant::QUOTA_PER_S));
    TenantSettings {
        name: name.unwrap_or_default(),
        quota_per_s: quota_per_s.unwrap_or(f64::INFINITY),
    }
}

fn read_kinds(raw: &SettingsMap) -> Vec<EngineKind> {
    let read_kind = |name: &str| EngineKind {
        name: name.to_owned(),
        cores: raw
            .number_for_kind(name, keys::CORES_BY_KIND)
            .unwrap_or(1.0),
        memory_mb: raw
            .number_for_kind(name, keys::MEMORY_MB_BY_KIND)
            .unwrap_or(0.0),
    };
    raw.list(keys::ENGINE_KINDS)
        .into_iter()
        .map(read_kind)
        .collect()
}

fn read_warm_up(raw: &SettingsMap) -> Option<WarmUpRule> {
    Some(WarmUpRule {
        multiple: raw.number(keys::WARM_UP_MULTIPLE)?,
        initial_capacity: raw.number(keys::WARM_UP_INITIAL_CAPACITY).unwrap_or(1.0),
        span_ms: raw.millis(keys::WARM_UP_SPAN_US)?,
        warm_after_ms: raw.millis(keys::WARM_AFTER_US)?,
    })
}

fn read_retry_budget(raw: &SettingsMap) -> Option<RetryBudgetRule> {
    Some(RetryBudgetRule {
        span_ms: raw.millis(keys::RETRY_BUDGET_SPAN_US)?,
        free: raw.number(keys::RETRY_BUDGET_FREE).unwrap_or(0.0),
        ratio: raw.number(keys::RETRY_BUDGET_RATIO).unwrap_or(0.0),
    })
}
