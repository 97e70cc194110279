//! The limits of what clients may ask, by the configuration.

/// What is admitted of clients' connections and queries.
#[derive(Debug, Default)]
pub struct AdmissionLimits {
    /// Clients' connections at most.
    pub max_connections: usize,
    /// Bytes that all connections together may have sent ahead of what is parsed.
    pub max_buffered_bytes: usize,
    /// Names of the resource groups.
    pub resource_groups: Vec<String>,
    /// Names of the tenants; where it is empty, no tenant is asked for.
    pub tenants: Vec<String>,
    /// The longest wait (ms) that a client may ask for.
    pub max_wait_ms: f64,
    /// The largest estimate of thread time (ms) that a client may give.
    pub max_cost_ms: f64,
    /// The largest estimate of memory (MB) that a client may give.
    pub max_memory_mb: f64,
    /// The retry time (ms) of a 503, if the settings allow one to be sent.
    pub retry_after_ms: Option<f64>,
}
