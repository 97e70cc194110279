//! The types of the settings.

/// Maximum attempts of a query, whatever the settings allow. Each query reserves a slot for each of them.
pub const MAX_ATTEMPTS: usize = 8;

/// All settings of the admission controller.
#[derive(Debug, Default)]
pub struct Settings {
    /// Number of dispatchers that share the pool, including this one; at least 1.
    pub dispatchers: f64,
    /// Index of this dispatcher, from 0.
    pub dispatcher_index: u32,
    /// The zone of this dispatcher.
    pub local_zone: Option<String>,
    /// Resource groups, in the order of the settings.
    pub groups: Vec<GroupSettings>,
    /// Tenants, in the order of the settings.
    pub tenants: Vec<TenantSettings>,
    /// Engine kinds, in the order of the settings.
    pub engine_kinds: Vec<EngineKind>,
    /// Operations that the platform offers to dispatchers.
    pub capabilities: Capabilities,
    /// Features that engines support.
    pub engine_features: EngineFeatures,
    /// Rule 2: maximum attempts of a query.
    pub max_attempts: usize,
    /// The longest `retry_after_ms` that clients respect (ms).
    pub max_retry_after_ms: f64,
    /// Rule 4; `None` if it does not apply.
    pub warm_up: Option<WarmUpRule>,
    /// Rule 5: cooldown of an ordering key after an attempt whose outcome is unknown (ms).
    pub key_cooldown_ms: f64,
    /// Rule 7; `None` if it does not apply.
    pub retry_budget: Option<RetryBudgetRule>,
    /// The endpoint list is sent on request only.
    pub endpoints_on_request: bool,
}

/// A resource group.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// The group's name in queries.
    pub name: String,
    /// Rule 2: the effect of running a query of the group twice.
    pub effect: Effect,
    /// Rule 2: the engines that recognize an idempotency key.
    pub dedup_scope: DedupScope,
    /// Rule 2: how long engines recognize an idempotency key (ms).
    pub dedup_window_ms: f64,
    /// Rule 5: queries with the same ordering key run one after the other.
    pub is_ordered_by_key: bool,
    /// Rule 6: the zones that the group is confined to; `None` for all zones.
    pub zones: Option<Vec<String>>,
    /// Rule 6: the engine kinds that the group is confined to; `None` for all kinds.
    pub kinds: Option<Vec<String>>,
    /// Latency objective of a query without work (ms); `objective_stretch` adds to it.
    pub objective_ms: f64,
    /// Increase of the latency objective per unit of work per thread.
    pub objective_stretch: f64,
    /// The usual timeout of the group's clients (ms); 0 if unknown.
    pub usual_timeout_ms: f64,
    /// Number of threads that a query of the group runs on; at least 1.
    pub threads: f64,
    /// The group's queries load tables, and lock them while they run.
    pub is_load: bool,
    /// The group's queries wait for tables that a load query locks.
    pub waits_for_loads: bool,
}

/// The effect of running a query twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// No side effects.
    ReadOnly,
    /// No further side effects while the engine recognizes the query's idempotency key.
    IdempotencyKey,
    /// The side effects happen twice.
    NonIdempotent,
}

/// The engines that recognize an idempotency key after an engine has seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    All,
    /// The engines of the same zone.
    Zone,
    /// The engines of the same cell.
    Cell,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantSettings {
    /// The tenant's name in queries; empty if it has none.
    pub name: String,
    /// Quota at all dispatchers together (queries per second); infinite if none is set.
    pub quota_per_s: f64,
}

/// An engine kind: engines with the same resources.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineKind {
    /// The kind's name in the endpoint list.
    pub name: String,
    /// Number of cores; 1 if the settings do not specify it.
    pub cores: f64,
    /// Memory (MB); 0 if the settings do not specify it.
    pub memory_mb: f64,
}

/// Operations that the platform offers to dispatchers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capabilities {
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// Engines answer health checks.
    pub health_checks: bool,
    /// Dispatchers can exchange messages.
    pub peer_messages: bool,
}

/// Features that engines support.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineFeatures {
    /// Engines support priorities.
    pub priorities: bool,
    /// Engines page memory to disk if grants exceed their memory, so a grant above the need costs nothing.
    pub pages_memory: bool,
    /// Interval at which engines send progress notes (ms); 0 if they send none.
    pub note_interval_ms: f64,
}

/// Rule 4: the limit on the work that is sent to an engine while it is warming up.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpRule {
    /// Work that all dispatchers together may send within the span, as a multiple of the engine's current capacity.
    pub multiple: f64,
    /// The engine's initial capacity, as a fraction of its full capacity.
    pub initial_capacity: f64,
    /// Length of the span (ms).
    pub span_ms: f64,
    /// Time after its start at which the engine is warm (ms).
    pub warm_after_ms: f64,
}

/// Rule 7: the number of retries allowed within a span.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetRule {
    /// Length of the span (ms).
    pub span_ms: f64,
    /// Number of retries that are always allowed.
    pub free: f64,
    /// Additional retries per query that arrived within the span.
    pub ratio: f64,
}

impl Settings {
    /// How long a healthy engine may be silent (ms): the interval of progress notes, or the shortest latency objective
    /// if engines send no notes.
    pub fn usual_silence_ms(&self) -> f64 {
        let note_interval_ms = self.engine_features.note_interval_ms;
        if note_interval_ms > 0.0 {
            note_interval_ms
        } else {
            self.shortest_objective_ms()
        }
    }

    /// The shortest latency objective of all groups (ms); infinite without groups.
    fn shortest_objective_ms(&self) -> f64 {
        let objectives = self.groups.iter().map(|group| group.objective_ms);
        objectives.fold(f64::INFINITY, f64::min)
    }

    /// The engine kind with this name; one with default values if the settings do not have it.
    pub fn engine_kind(&self, name: &str) -> EngineKind {
        let known = self.engine_kinds.iter().find(|kind| kind.name == name);
        known.cloned().unwrap_or(EngineKind {
            name: name.to_owned(),
            cores: 1.0,
            memory_mb: 0.0,
        })
    }
}
