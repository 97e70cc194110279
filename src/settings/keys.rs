//! The keys of the settings and their words, as the platform names them.
//!
//! A key is a path into the settings map. The words stay as they are here, in the configuration file and on the
//! simulator's wire; everywhere else the project uses its own terms.

/// How many dispatchers share the pool.
pub const DISPATCHERS: &str = "balancers";
/// This dispatcher's index among them.
pub const DISPATCHER_INDEX: &str = "me";
/// The zone of this dispatcher.
pub const LOCAL_ZONE: &str = "zone";
/// How the endpoint list arrives.
pub const ENDPOINT_LIST_MODE: &str = "membership-mode";
/// Value of [`ENDPOINT_LIST_MODE`]: the list is sent on request only.
pub const ENDPOINT_LIST_ON_REQUEST: &str = "on_request";

/// Names of the kinds of engines, a list.
pub const ENGINE_KINDS: &str = "kinds";
/// Cores by kind, a list in the order of [`ENGINE_KINDS`].
pub const CORES_BY_KIND: &str = "family-info.cores-by-kind";
/// Memory (MB) by kind, a list in the order of [`ENGINE_KINDS`].
pub const MEMORY_MB_BY_KIND: &str = "family-info.kind-memory-mb";

/// Threads of a query by resource group, a list in the order of [`GROUPS`].
pub const THREADS_BY_GROUP: &str = "family-info.dop";
/// Whether a resource group loads tables, a list in the order of [`GROUPS`].
pub const IS_LOAD_BY_GROUP: &str = "family-info.class-load";
/// Whether a resource group waits for tables that a load locks, a list in the order of [`GROUPS`].
pub const WAITS_FOR_LOADS_BY_GROUP: &str = "family-info.class-waits";
/// Whether engines support priorities: `true` or `1`.
pub const PRIORITY_COUNT: &str = "family-info.lanes-count";
/// What engines do when memory is short.
pub const MEMORY_SHORTAGE: &str = "family-info.memory-short";
/// Value of [`MEMORY_SHORTAGE`]: they page.
pub const MEMORY_SHORTAGE_PAGES: &str = "page";
/// Interval of engines' progress notes (us).
pub const PROGRESS_INTERVAL_US: &str = "family-info.tells-every-us";

/// Attempts of a query, the first one included.
pub const MAX_ATTEMPTS: &str = "limits.max-attempts";
/// Whether attempts can be cancelled.
pub const CANCELLATION: &str = "limits.cancelling";
/// Whether engines answer health checks.
pub const HEALTH_CHECKS: &str = "limits.probes";
/// Whether dispatchers may exchange messages.
pub const PEER_MESSAGES: &str = "limits.peers";
/// Whether a rejection carries a time to come back.
pub const SENDS_RETRY_AFTER: &str = "limits.retry-after";
/// The longest time to come back that clients follow (us).
pub const MAX_RETRY_AFTER_US: &str = "limits.max-retry-after-us";
/// How long a connection to an engine may take to open (us).
pub const CONNECT_TIMEOUT_US: &str = "limits.connect-timeout-us";
/// After how long an engine closes an idle connection (us).
pub const CONNECTION_IDLE_US: &str = "limits.conn-idle-us";
/// Attempts in flight on a connection.
pub const STREAMS_PER_CONNECTION: &str = "limits.streams-per-conn";

/// Rule 3: how long a dispatcher may still send to an engine after it was notified of a drain (us). The decisions do
/// not read it: they send nothing at once.
pub const DRAIN_GRACE_US: &str = "rules.drain-grace-us";
/// Rule 4: multiple of a warming engine's capacity that all dispatchers may send within the span.
pub const WARM_UP_MULTIPLE: &str = "rules.fall-multiple";
/// Rule 4: fraction of its capacity that an engine starts with.
pub const WARM_UP_INITIAL_CAPACITY: &str = "rules.cold-from";
/// Rule 4: the span (us).
pub const WARM_UP_SPAN_US: &str = "rules.overload-for-us";
/// Rule 4: how long after its start an engine is warm (us).
pub const WARM_AFTER_US: &str = "rules.warm-after-us";
/// Rule 5: how long a key cools down after an attempt whose end is unknown (us).
pub const KEY_COOLDOWN_US: &str = "rules.settle-after-doubt-us";
/// Rule 7: the span of the retry budget (us).
pub const RETRY_BUDGET_SPAN_US: &str = "rules.ratio-span-us";
/// Rule 7: retries that are always allowed.
pub const RETRY_BUDGET_FREE: &str = "rules.extra-free";
/// Rule 7: retries for each query that arrived within the span.
pub const RETRY_BUDGET_RATIO: &str = "rules.repeat-ratio";

/// The list of resource groups; [`group`] has the keys of each.
pub const GROUPS: &str = "services";
/// The list of tenants; [`tenant`] has the keys of each.
pub const TENANTS: &str = "projects";

/// Keys of one resource group, below its place in [`GROUPS`].
pub mod group {
    /// The name that queries carry.
    pub const NAME: &str = "name";
    /// What running a query twice does; [`effect`](super::effect) has the values.
    pub const EFFECT: &str = "effect";
    /// Where an idempotency key is known; [`dedup_scope`](super::dedup_scope) has the values.
    pub const DEDUP_SCOPE: &str = "dedup-scope";
    /// For how long an idempotency key is known (us).
    pub const DEDUP_WINDOW_US: &str = "repeat-window-us";
    /// Whether queries with one key run in order.
    pub const IN_KEY_ORDER: &str = "in-order";
    /// Zones that the group is confined to, a list.
    pub const ZONES: &str = "confined-to";
    /// Kinds of engines that the group is confined to, a list.
    pub const ENGINE_KINDS: &str = "kinds-open";
    /// Latency objective (us).
    pub const OBJECTIVE_US: &str = "aim-us";
    /// How much longer the latency objective is for each unit of work a thread.
    pub const OBJECTIVE_STRETCH: &str = "aim-stretch";
    /// The client's usual timeout (us).
    pub const DEADLINE_US: &str = "hard-limit-us";
}

/// Keys of one tenant, below its place in [`TENANTS`].
pub mod tenant {
    /// The name that queries carry.
    pub const NAME: &str = "name";
    /// Queries a second, over all dispatchers.
    pub const QUOTA_PER_S: &str = "allowance-per-s";
}

/// Values of [`group::EFFECT`].
pub mod effect {
    /// Running a query twice does nothing.
    pub const READ_ONLY: &str = "read_like";
    /// Running a query twice does nothing while its idempotency key is known.
    pub const IDEMPOTENCY_KEY: &str = "idempotency_key";
    /// Running a query twice does harm.
    pub const NON_IDEMPOTENT: &str = "non_idempotent";
}

/// Values of [`group::DEDUP_SCOPE`].
pub mod dedup_scope {
    /// Known to all engines.
    pub const ALL: &str = "all";
    /// Known to the engines of a zone.
    pub const ZONE: &str = "zone";
    /// Known to the engines of a cell.
    pub const CELL: &str = "cell";
}
