//! What the settings are read into.

/// Maximum attempts of a query, whatever the settings allow: each query has a slot for every one of them.
pub const MAX_ATTEMPTS: usize = 8;

/// All settings of the decisions.
#[derive(Debug, Default)]
pub struct Settings {
    /// How many dispatchers share the pool, this one included; at least 1.
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
    /// Rule 2: maximum attempts of a query.
    pub max_attempts: usize,
    /// The longest `retry_after_ms` that clients follow (ms).
    pub max_retry_after_ms: f64,
    /// Rule 4, where it applies.
    pub warm_up: Option<WarmUpRule>,
    /// Rule 5: how long a key cools down after an attempt whose end is unknown (ms).
    pub key_cooldown_ms: f64,
    /// Rule 7, where it applies.
    pub retry_budget: Option<RetryBudgetRule>,
    /// The endpoint list is sent on request only.
    pub endpoints_on_request: bool,
}

/// A resource group.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// Its name, as queries carry it.
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
    /// The usual timeout of its clients (ms); 0 where it is not known.
    pub usual_timeout_ms: f64,
    /// Threads that a query runs on; at least 1.
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
    /// Its name, as in the endpoint list.
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
    /// Engines answer health checks.
    pub health_checks: bool,
    /// Dispatchers can exchange messages.
    pub peer_messages: bool,
}

/// What engines are able to do.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineFeatures {
    /// They support priorities.
    pub priorities: bool,
    /// They page when granted memory exceeds what they have, so a grant above need costs nothing.
    pub pages_memory: bool,
    /// How often they send progress notes (ms); 0 where they send none.
    pub note_interval_ms: f64,
}

/// Rule 4: what may be sent to an engine that is warming up.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpRule {
    /// Multiple of its current capacity that all dispatchers may send within the span.
    pub multiple: f64,
    /// Fraction of its capacity that it starts with.
    pub initial_capacity: f64,
    /// The span (ms).
    pub span_ms: f64,
    /// Time after its start at which it is warm (ms).
    pub warm_after_ms: f64,
}

/// Rule 7: the retries that a span allows.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetRule {
    /// The span (ms).
    pub span_ms: f64,
    /// Retries that are always allowed.
    pub free: f64,
    /// Retries for each query that arrived within the span.
    pub ratio: f64,
}

impl Settings {
    /// How long a healthy engine may be silent (ms): the interval of progress notes, or the shortest latency objective
    /// where it sends none.
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

    /// The engine kind of this name, with default values where the settings do not have it.
    pub fn engine_kind(&self, name: &str) -> EngineKind {
        let known = self.engine_kinds.iter().find(|kind| kind.name == name);
        known.cloned().unwrap_or(EngineKind {
            name: name.to_owned(),
            cores: 1.0,
            memory_mb: 0.0,
        })
    }
}
