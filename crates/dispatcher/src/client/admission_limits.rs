//! Limits of clients' connections and requests, from the configuration.

/// Limits of clients' connections and requests.
#[derive(Debug, Default)]
pub struct AdmissionLimits {
    /// Maximum number of clients' connections.
    pub max_connections: usize,
    /// Maximum size (bytes) of all read buffers together.
    pub max_buffered_bytes: usize,
    /// Names of the resource groups.
    pub resource_groups: Vec<String>,
    /// Names of the tenants. If empty, requests need not name one.
    pub tenants: Vec<String>,
    /// Maximum wait (ms) in a request.
    pub max_wait_ms: f64,
    /// Maximum estimate of thread time (ms) in a request.
    pub max_cost_ms: f64,
    /// Maximum estimate of memory (MB) in a request.
    pub max_memory_mb: f64,
    /// The retry time (ms) that a 503 contains, if the settings define one.
    pub retry_after_ms: Option<f64>,
}
