//! The settings, read once into [`Settings`], with defaults and checks.
//!
//! They arrive as a flat map of paths and values ([`SettingsMap`]) whose keys are the platform's. Only this module and
//! programs that need a raw value know those keys. A malformed value counts as absent, unless the key is required.

pub mod keys;
mod raw;

pub use raw::{
    insert, insert_list, is_true, list_count, list_item, matches_name, parse_pairs, RawSettings,
    SettingsError, SettingsMap,
};

/// Attempts of a query at most, whatever the settings allow: room for them is kept in each query.
pub const MAX_ATTEMPTS: usize = 8;

/// All settings that the decisions go by.
#[derive(Debug, Default)]
pub struct Settings {
    /// How many dispatchers share the pool, this one included; 1 at the least.
    pub dispatchers: f64,
    /// This dispatcher's number among them.
    pub dispatcher_index: u32,
    /// The zone of this dispatcher.
    pub local_zone: Option<String>,
    /// Resource groups, in the order of the settings.
    pub groups: Vec<GroupSettings>,
    /// Tenants, in the order of the settings.
    pub tenants: Vec<TenantSettings>,
    /// Kinds of engines.
    pub engine_kinds: Vec<EngineKind>,
    /// What the platform lets a dispatcher do.
    pub capabilities: Capabilities,
    /// What engines are able to do.
    pub engine_features: EngineFeatures,
    /// Rule 2: attempts of a query at most.
    pub max_attempts: usize,
    /// The longest `retry_after_ms` that clients follow (ms).
    pub max_retry_after_ms: f64,
    /// Rule 4, where it applies.
    pub warm_up: Option<WarmUpRule>,
    /// Rule 5: how long a key cools down after an attempt whose end is unknown (ms).
    pub key_cooldown_ms: f64,
    /// Rule 7, where it applies.
    pub retry_budget: Option<RetryBudgetRule>,
    /// The endpoint list comes on request only.
    pub endpoints_on_request: bool,
}

/// A resource group.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// Its name, as queries give it.
    pub name: String,
    /// Rule 2: what running a query of it twice does.
    pub effect: Effect,
    /// Rule 2: where an idempotency key is known.
    pub dedup_scope: DedupScope,
    /// Rule 2: for how long an idempotency key is known (ms).
    pub dedup_window_ms: f64,
    /// Rule 5: queries with one key run one after the other.
    pub is_ordered_by_key: bool,
    /// Rule 6: the zones that it is confined to.
    pub zones: Option<Vec<String>>,
    /// Rule 6: the kinds of engines that it is confined to.
    pub kinds: Option<Vec<String>>,
    /// Latency objective (ms), and how much longer it is for each unit of work a thread.
    pub objective_ms: f64,
    /// See `objective_ms`.
    pub objective_stretch: f64,
    /// The time that clients give as a rule (ms); 0 where it is not known.
    pub usual_wait_ms: f64,
    /// Threads that a query runs on; 1 at the least.
    pub threads: f64,
    /// Its queries load tables, and lock them.
    pub is_load: bool,
    /// Its queries wait for tables that a load locks.
    pub waits_for_loads: bool,
}

/// What running a query twice does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    ReadOnly,
    /// Nothing, while an engine still knows its idempotency key.
    IdempotencyKey,
    /// Harm.
    NonIdempotent,
}

/// Where an idempotency key is known once an engine has seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Everywhere.
    All,
    /// On the engines of the same zone.
    Zone,
    /// On the engines of the same cell.
    Cell,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantSettings {
    /// Its name; empty where it has none.
    pub name: String,
    /// Queries a second, over all dispatchers; infinite where none is set.
    pub quota_per_s: f64,
}

/// A kind of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineKind {
    /// Its name, as the endpoint list gives it.
    pub name: String,
    /// Cores; 1 where the settings do not say.
    pub cores: f64,
    /// Memory (MB); 0 where the settings do not say.
    pub memory_mb: f64,
}

/// What the platform lets a dispatcher do.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capabilities {
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// Engines can be asked for a sign of life.
    pub health_checks: bool,
    /// Dispatchers can exchange messages.
    pub peer_messages: bool,
}

/// What engines are able to do.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineFeatures {
    /// They heed priorities.
    pub priorities: bool,
    /// They page when granted memory exceeds what they have: what a grant does not need stays free.
    pub pages_memory: bool,
    /// How often they send progress notes (ms); 0 where they send none.
    pub note_interval_ms: f64,
}

/// Rule 4: what may be sent to an engine that is warming up.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpRule {
    /// Multiple of its capacity at the moment that may be sent within the span.
    pub multiple: f64,
    /// Fraction of its capacity that it starts with.
    pub initial_capacity: f64,
    /// The span (ms).
    pub span_ms: f64,
    /// It is warm so long after its start (ms).
    pub warm_after_ms: f64,
}

/// Rule 7: the retries that a span allows.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetRule {
    /// The span (ms).
    pub span_ms: f64,
    /// Retries that are always allowed.
    pub free: f64,
    /// Retries for each query that came within the span.
    pub ratio: f64,
}

impl Settings {
    /// Reads the settings.
    ///
    /// # Errors
    /// A required key is missing or has a value that is not allowed: `services.count`, each group's `name`, `effect`
    /// and `aim-us`, and `balancers`.
    pub fn read(raw: &SettingsMap) -> Result<Self, SettingsError> {
        let groups = read_groups(raw)?;
        let dispatchers = raw.required("balancers")?.max(1.0);
        let max_attempts = raw.number("limits.max-attempts").unwrap_or(1.0) as usize;
        Ok(Settings {
            dispatchers,
            dispatcher_index: raw.number("me").unwrap_or(0.0) as u32,
            local_zone: raw.get("zone").cloned(),
            groups,
            tenants: read_tenants(raw),
            engine_kinds: read_kinds(raw),
            capabilities: Capabilities {
                cancellation: raw.is_on("limits.cancelling"),
                health_checks: raw.is_on("limits.probes"),
                peer_messages: raw.is_on("limits.peers"),
            },
            engine_features: EngineFeatures {
                priorities: raw.is_on("family-info.lanes-count"),
                pages_memory: has_value(raw, "family-info.memory-short", "page"),
                note_interval_ms: raw.millis("family-info.tells-every-us").unwrap_or(0.0),
            },
            max_attempts: max_attempts.min(MAX_ATTEMPTS),
            max_retry_after_ms: raw.millis("limits.max-retry-after-us").unwrap_or(0.0),
            warm_up: read_warm_up(raw),
            key_cooldown_ms: raw.millis("rules.settle-after-doubt-us").unwrap_or(0.0),
            retry_budget: read_retry_budget(raw),
            endpoints_on_request: has_value(raw, "membership-mode", "on_request"),
        })
    }

    /// How long an engine that works may be silent (ms): as long as notes take, or, where it sends none, as the
    /// shortest latency objective.
    pub fn usual_silence_ms(&self) -> f64 {
        let note_interval_ms = self.engine_features.note_interval_ms;
        if note_interval_ms > 0.0 {
            note_interval_ms
        } else {
            self.shortest_objective_ms()
        }
    }

    /// The shortest latency objective of a group (ms); infinite where there is no group.
    fn shortest_objective_ms(&self) -> f64 {
        let objectives = self.groups.iter().map(|group| group.objective_ms);
        objectives.fold(f64::INFINITY, f64::min)
    }

    /// A kind of engines by its name; one that the settings do not have gets the defaults.
    pub fn engine_kind(&self, name: &str) -> EngineKind {
        let known = self.engine_kinds.iter().find(|kind| kind.name == name);
        known.cloned().unwrap_or(EngineKind {
            name: name.to_owned(),
            cores: 1.0,
            memory_mb: 0.0,
        })
    }
}

fn has_value(raw: &SettingsMap, key: &str, expected: &str) -> bool {
    raw.get(key).is_some_and(|value| value == expected)
}

fn read_groups(raw: &SettingsMap) -> Result<Vec<GroupSettings>, SettingsError> {
    let count = raw.required(&list_count("services"))? as usize;
    (0..count).map(|index| read_group(raw, index)).collect()
}

fn read_group(raw: &SettingsMap, index: usize) -> Result<GroupSettings, SettingsError> {
    let key = |field: &str| format!("{}.{field}", list_item("services", index));
    let names = |field: &str| -> Option<Vec<String>> {
        let names = raw.get(&key(field))?;
        Some(names.split(',').map(str::to_owned).collect())
    };
    let effect = read_effect(raw, key("effect"))?;
    let objective_ms = raw.required(&key("aim-us"))? / 1000.0;
    let name = raw.get(&key("name")).cloned();
    let flag = |list: &str| {
        raw.list(list)
            .get(index)
            .is_some_and(|value| is_true(value))
    };
    let threads = raw
        .list("family-info.dop")
        .get(index)
        .and_then(|value| value.parse().ok());
    Ok(GroupSettings {
        name: name.ok_or(SettingsError::Missing { key: key("name") })?,
        effect,
        dedup_scope: match raw.get(&key("dedup-scope")).map(String::as_str) {
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            _ => DedupScope::All,
        },
        dedup_window_ms: raw.millis(&key("repeat-window-us")).unwrap_or(0.0),
        is_ordered_by_key: raw.is_on(&key("in-order")),
        zones: names("confined-to"),
        kinds: names("kinds-open"),
        objective_ms,
        objective_stretch: raw.number(&key("aim-stretch")).unwrap_or(0.0),
        usual_wait_ms: raw.millis(&key("hard-limit-us")).unwrap_or(0.0),
        threads: threads.unwrap_or(1.0_f64).max(1.0),
        is_load: flag("family-info.class-load"),
        waits_for_loads: flag("family-info.class-waits"),
    })
}

fn read_effect(raw: &SettingsMap, key: String) -> Result<Effect, SettingsError> {
    match raw.get(&key).map(String::as_str) {
        Some("read_like") => Ok(Effect::ReadOnly),
        Some("idempotency_key") => Ok(Effect::IdempotencyKey),
        Some("non_idempotent") => Ok(Effect::NonIdempotent),
        Some(other) => Err(SettingsError::Invalid {
            value: other.to_owned(),
            key,
            expected: "read_like, idempotency_key or non_idempotent",
        }),
        None => Err(SettingsError::Missing { key }),
    }
}

fn read_tenants(raw: &SettingsMap) -> Vec<TenantSettings> {
    let count = raw.number(&list_count("projects")).unwrap_or(0.0) as usize;
    let read_tenant = |index| {
        let tenant = list_item("projects", index);
        let quota_per_s = raw.number(&format!("{tenant}.allowance-per-s"));
        TenantSettings {
            name: raw
                .get(&format!("{tenant}.name"))
                .cloned()
                .unwrap_or_default(),
            quota_per_s: quota_per_s.unwrap_or(f64::INFINITY),
        }
    };
    (0..count).map(read_tenant).collect()
}

fn read_kinds(raw: &SettingsMap) -> Vec<EngineKind> {
    let read_kind = |name: &str| EngineKind {
        name: name.to_owned(),
        cores: raw
            .for_kind(name, "family-info.cores-by-kind")
            .unwrap_or(1.0),
        memory_mb: raw
            .for_kind(name, "family-info.kind-memory-mb")
            .unwrap_or(0.0),
    };
    raw.list("kinds").into_iter().map(read_kind).collect()
}

fn read_warm_up(raw: &SettingsMap) -> Option<WarmUpRule> {
    Some(WarmUpRule {
        multiple: raw.number("rules.fall-multiple")?,
        initial_capacity: raw.number("rules.cold-from").unwrap_or(1.0),
        span_ms: raw.millis("rules.overload-for-us")?,
        warm_after_ms: raw.millis("rules.warm-after-us")?,
    })
}

fn read_retry_budget(raw: &SettingsMap) -> Option<RetryBudgetRule> {
    Some(RetryBudgetRule {
        span_ms: raw.millis("rules.ratio-span-us")?,
        free: raw.number("rules.extra-free").unwrap_or(0.0),
        ratio: raw.number("rules.repeat-ratio").unwrap_or(0.0),
    })
}
