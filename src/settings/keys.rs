//! The keys and values of the settings, as the platform names them.
//!
//! A key is a path into the settings map. Configuration files and the simulator's protocol use the platform's names, so
//! they must not change. Everywhere else the project uses the names of the constants in this module.

/// Number of dispatchers that share the pool.
pub const DISPATCHERS: &str = "balancers";
/// Index of this dispatcher, from 0.
pub const DISPATCHER_INDEX: &str = "me";
/// The zone of this dispatcher.
pub const LOCAL_ZONE: &str = "zone";
/// How the endpoint list is delivered.
pub const ENDPOINT_LIST_MODE: &str = "membership-mode";
/// Value of [`ENDPOINT_LIST_MODE`]: the list is sent on request only.
pub const ENDPOINT_LIST_ON_REQUEST: &str = "on_request";

/// Names of the engine kinds, a list.
pub const ENGINE_KINDS: &str = "kinds";
/// Cores by engine kind, a list in the order of [`ENGINE_KINDS`].
pub const CORES_BY_KIND: &str = "family-info.cores-by-kind";
/// Memory (MB) by engine kind, a list in the order of [`ENGINE_KINDS`].
pub const MEMORY_MB_BY_KIND: &str = "family-info.kind-memory-mb";

/// Threads per query by resource group, a list in the order of [`GROUPS`].
pub const THREADS_BY_GROUP: &str = "family-info.dop";
/// Whether the queries of a resource group load tables, a list in the order of [`GROUPS`].
pub const IS_LOAD_BY_GROUP: &str = "family-info.class-load";
/// Whether the queries of a resource group wait for tables that a load query locks, a list in the order of [`GROUPS`].
pub const WAITS_FOR_LOADS_BY_GROUP: &str = "family-info.class-waits";
/// Whether engines support priorities: `true` or `1`.
pub const SUPPORTS_PRIORITIES: &str = "family-info.lanes-count";
/// How engines react to a shortage of memory.
pub const MEMORY_SHORTAGE: &str = "family-info.memory-short";
/// Value of [`MEMORY_SHORTAGE`]: engines page memory to disk.
pub const MEMORY_SHORTAGE_PAGES: &str = "page";
/// Interval at which engines send progress notes (us).
pub const PROGRESS_INTERVAL_US: &str = "family-info.tells-every-us";

/// Maximum number of attempts per query, including the first.
pub const MAX_ATTEMPTS: &str = "limits.max-attempts";
/// Whether attempts can be cancelled.
pub const CANCELLATION: &str = "limits.cancelling";
/// Whether engines answer health checks.
pub const HEALTH_CHECKS: &str = "limits.probes";
/// Whether dispatchers may exchange messages.
pub const PEER_MESSAGES: &str = "limits.peers";
/// Whether a rejection tells the client when to retry.
pub const SENDS_RETRY_AFTER: &str = "limits.retry-after";
/// The longest retry-after time that clients respect (us).
pub const MAX_RETRY_AFTER_US: &str = "limits.max-retry-after-us";
/// Timeout for opening a connection to an engine (us).
pub const CONNECT_TIMEOUT_US: &str = "limits.connect-timeout-us";
/// Time after which an engine closes an idle connection (us).
pub const CONNECTION_IDLE_US: &str = "limits.conn-idle-us";
/// Maximum number of attempts in flight per connection.
pub const STREAMS_PER_CONNECTION: &str = "limits.streams-per-conn";

/// Rule 3: how long a dispatcher may still send to an engine after the notification of a drain (us). The
/// admission controller does not use this key, because it stops sending at once.
pub const DRAIN_GRACE_US: &str = "rules.drain-grace-us";
/// Rule 4: work that all dispatchers together may send to a warming engine within the span, as a multiple of the
/// engine's current capacity.
pub const WARM_UP_MULTIPLE: &str = "rules.fall-multiple";
/// Rule 4: initial capacity of an engine, as a fraction of its full capacity.
pub const WARM_UP_INITIAL_CAPACITY: &str = "rules.cold-from";
/// Rule 4: length of the span (us).
pub const WARM_UP_SPAN_US: &str = "rules.overload-for-us";
/// Rule 4: time after its start at which an engine is warm (us).
pub const WARM_AFTER_US: &str = "rules.warm-after-us";
/// Rule 5: cooldown of an ordering key after an attempt whose outcome is unknown (us).
pub const KEY_COOLDOWN_US: &str = "rules.settle-after-doubt-us";
/// Rule 7: length of the span of the retry budget (us).
pub const RETRY_BUDGET_SPAN_US: &str = "rules.ratio-span-us";
/// Rule 7: number of retries that are always allowed within the span.
pub const RETRY_BUDGET_FREE: &str = "rules.extra-free";
/// Rule 7: additional retries per query that arrived within the span.
pub const RETRY_BUDGET_RATIO: &str = "rules.repeat-ratio";

/// The list of resource groups; [`group`] has the keys of each.
pub const GROUPS: &str = "services";
/// The list of tenants; [`tenant`] has the keys of each.
pub const TENANTS: &str = "projects";

/// Keys of one resource group, relative to its item in [`GROUPS`].
pub mod group {
    /// The group's name in queries.
    pub const NAME: &str = "name";
    /// The effect of running a query twice; [`effect`](super::effect) has the values.
    pub const EFFECT: &str = "effect";
    /// The engines that recognize an idempotency key; [`dedup_scope`](super::dedup_scope) has the values.
    pub const DEDUP_SCOPE: &str = "dedup-scope";
    /// How long engines recognize an idempotency key (us).
    pub const DEDUP_WINDOW_US: &str = "repeat-window-us";
    /// Whether queries with the same ordering key run in order.
    pub const ORDERED_BY_KEY: &str = "in-order";
    /// Zones that the group is confined to, a list.
    pub const ZONES: &str = "confined-to";
    /// Engine kinds that the group is confined to, a list.
    pub const ENGINE_KINDS: &str = "kinds-open";
    /// Latency objective (us).
    pub const OBJECTIVE_US: &str = "aim-us";
    /// Increase of the latency objective per unit of work per thread.
    pub const OBJECTIVE_STRETCH: &str = "aim-stretch";
    /// The client's usual timeout (us).
    pub const USUAL_TIMEOUT_US: &str = "hard-limit-us";
}

/// Keys of one tenant, relative to its item in [`TENANTS`].
pub mod tenant {
    /// The tenant's name in queries.
    pub const NAME: &str = "name";
    /// Quota at all dispatchers together (queries per second).
    pub const QUOTA_PER_S: &str = "allowance-per-s";
}

/// Values of [`group::EFFECT`].
pub mod effect {
    /// Running a query twice has no side effects.
    pub const READ_ONLY: &str = "read_like";
    /// Running a query twice has no further side effects while engines recognize its idempotency key.
    pub const IDEMPOTENCY_KEY: &str = "idempotency_key";
    /// Running a query twice repeats its side effects.
    pub const NON_IDEMPOTENT: &str = "non_idempotent";
}

/// Values of [`group::DEDUP_SCOPE`].
pub mod dedup_scope {
    /// All engines recognize the key.
    pub const ALL: &str = "all";
    /// The engines of the same zone recognize the key.
    pub const ZONE: &str = "zone";
    /// The engines of the same cell recognize the key.
    pub const CELL: &str = "cell";
}
