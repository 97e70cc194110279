//! Limits on client connections and requests, read from the configuration.

/// Limits on client connections and requests.
#[derive(Debug, Default)]
pub struct AdmissionLimits {
    /// Maximum number of open client connections.
    pub max_connections: usize,
    /// Maximum memory (bytes) that all read buffers hold.
    pub max_buffered_bytes: usize,
    /// Names of the resource groups.
    pub resource_groups: Vec<String>,
    /// Names of the tenants. If empty, requests need not name a tenant.
    pub tenants: Vec<String>,
    /// Maximum wait (ms) that a request may declare.
    pub max_wait_ms: f64,
    /// Maximum estimate of thread time (ms) that a request may declare.
    pub max_cost_ms: f64,
    /// Maximum estimate of memory (MB) that a request may declare.
    pub max_memory_mb: f64,
    /// Time (ms) after which a client may retry, sent with a 503. `None` if the settings define none.
    pub retry_after_ms: Option<f64>,
}
