//! Division of the program's descriptors and memory, and the limits of the client side and the engine side that are
//! derived from the settings.

use super::groups::{read_tenant_names, ConfiguredGroup};
use super::keys;
use super::node::{ErrorCollector, Node};
use crate::client::AdmissionLimits;
use crate::engine::ConnectionSettings;
use crate::query_registry::QueryMemoryLimits;
use tansymux::settings::{self, keys as settings_keys, RawSettings, SettingsMap};

/// Minimum of `limits.sockets`.
const MIN_SOCKETS: f64 = 64.0;
/// Default of `limits.sockets`: the usual soft limit of a process.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Minimum of `limits.memory_mb`.
const MIN_MEMORY_MB: f64 = 16.0;
/// Default of `limits.memory_mb`.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;
/// Bytes in a megabyte.
const BYTES_PER_MB: u32 = 1 << 20;
/// Default connect timeout (ms): the value in the protocol's example.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Default idle time (ms) after which an engine closes a connection: the value in the protocol's example.
const DEFAULT_IDLE_MS: f64 = 30_000.0;
/// Default limit of attempts in flight on a connection: the value in the protocol's example.
const DEFAULT_STREAMS: f64 = 32.0;
/// Fraction of the descriptor limit that connections from clients may use. The protocol lets clients hold a third of
/// the limit.
const CLIENT_SOCKET_FRACTION: f64 = 0.5;
/// Fraction of the descriptor limit that connections to engines may use.
const ENGINE_SOCKET_FRACTION: f64 = 0.35;
/// Descriptors that neither client nor engine connections may use: three standard streams, five of the signal pipe (one
/// read end, and a write end for each of four signals), three of the event loop, the listener, two name service sockets
/// (the current and the next), the sockets for peers and fleet, a file during a reload, and a reserve.
const RESERVED_SOCKETS: f64 = 20.0;
/// Fraction of the memory limit that statements in flight may use.
const STATEMENT_MEMORY_FRACTION: f64 = 0.2;
/// Fraction of the memory limit that results may use while they wait to be written to clients.
const ANSWER_MEMORY_FRACTION: f64 = 0.3;
/// Fraction of the memory limit that bytes read ahead from clients may use.
const READ_AHEAD_MEMORY_FRACTION: f64 = 0.1;
/// Minimum read-ahead memory (bytes) for each connection from a client: more than a usual request.
const MIN_READ_AHEAD_BYTES: usize = 2 * 1024;
/// Maximum wait, cost and memory of a request, as a multiple of the settings' values: the longest deadline, the work of
/// the largest engine within that deadline, and the memory of the engine with the most memory.
const REQUEST_HEADROOM: f64 = 4.0;
/// Maximum wait (ms) in a request if the settings have no deadline: one hour.
const DEFAULT_MAX_WAIT_MS: f64 = 3_600_000.0;
/// Maximum estimate (ms on one core, or MB) in a request if the settings do not define the engines' size.
const DEFAULT_MAX_ESTIMATE: f64 = 1e9;

/// Resource limits of the program, from `limits`.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProcessLimits {
    /// Maximum number of open descriptors.
    pub sockets: f64,
    /// Maximum memory of the program.
    pub memory_bytes: f64,
}

impl ProcessLimits {
    pub(super) fn read(root: &Node, errors: &mut ErrorCollector) -> Self {
        let limits = root.child(keys::LIMITS);
        let sockets = limits.child(keys::MAX_SOCKETS);
        let sockets = errors.number_or(&sockets, DEFAULT_SOCKETS, MIN_SOCKETS);
        let memory_mb = limits.child(keys::MAX_MEMORY_MB);
        let memory_mb = errors.number_or(&memory_mb, DEFAULT_MEMORY_MB, MIN_MEMORY_MB);
        ProcessLimits {
            sockets,
            memory_bytes: memory_mb * f64::from(BYTES_PER_MB),
        }
    }

    /// Limits on the memory of queries.
    pub(super) fn query_memory(self) -> QueryMemoryLimits {
        QueryMemoryLimits {
            max_statement_bytes: (self.memory_bytes * STATEMENT_MEMORY_FRACTION) as usize,
            max_answer_bytes: (self.memory_bytes * ANSWER_MEMORY_FRACTION) as usize,
        }
    }

    /// Maximum connections of the client side or the engine side, given its fraction of the descriptors.
    fn connections(self, fraction: f64) -> usize {
        let total_fraction = CLIENT_SOCKET_FRACTION + ENGINE_SOCKET_FRACTION;
        let available = (self.sockets - RESERVED_SOCKETS).min(self.sockets * total_fraction);
        (available * fraction / total_fraction) as usize
    }
}

/// The settings of connections to engines.
pub(super) fn read_engine_settings(
    root: &Node,
    limits: ProcessLimits,
    groups: &[ConfiguredGroup],
    errors: &mut ErrorCollector,
) -> ConnectionSettings {
    let settings = root.child(keys::SETTINGS);
    let mut number_or = |key: &str, default: f64, min: f64| {
        errors.number_or(&settings.descendant(key), default, min)
    };
    let progress_interval_us = number_or(settings_keys::PROGRESS_INTERVAL_US, 0.0, 0.0);
    let default_connect_timeout_us = DEFAULT_CONNECT_TIMEOUT_MS * US_PER_MS;
    let connect_timeout_us = number_or(
        settings_keys::CONNECT_TIMEOUT_US,
        default_connect_timeout_us,
        1.0,
    );
    let default_idle_us = DEFAULT_IDLE_MS * US_PER_MS;
    let idle_us = number_or(settings_keys::CONNECTION_IDLE_US, default_idle_us, 1.0);
    let streams = number_or(settings_keys::STREAMS_PER_CONNECTION, DEFAULT_STREAMS, 1.0);
    let shortest_objective_ms = groups
        .iter()
        .filter_map(|group| group.latency_objective_ms)
        .reduce(f64::min);
    ConnectionSettings {
        shortest_objective_ms: shortest_objective_ms.unwrap_or(0.0),
        progress_interval_ms: progress_interval_us / US_PER_MS,
        connect_timeout_ms: connect_timeout_us / US_PER_MS,
        idle_timeout_ms: idle_us / US_PER_MS,
        max_streams: streams as usize,
        max_connections: limits.connections(ENGINE_SOCKET_FRACTION),
    }
}

/// The limits of the client side. `max_deadline_ms` is the longest deadline of all groups, if any group has a deadline.
pub(super) fn read_admission(
    settings: &SettingsMap,
    limits: ProcessLimits,
    groups: &[ConfiguredGroup],
    max_deadline_ms: Option<f64>,
) -> AdmissionLimits {
    let max_wait_ms = max_deadline_ms.map_or(DEFAULT_MAX_WAIT_MS, |deadline_ms| {
        REQUEST_HEADROOM * deadline_ms
    });
    let max_cores = max_of_list(settings, settings_keys::CORES_BY_KIND);
    let max_cost_ms = max_cores.map(|cores| cores * max_wait_ms);
    let max_engine_memory_mb = max_of_list(settings, settings_keys::MEMORY_MB_BY_KIND);
    let max_memory_mb = max_engine_memory_mb.map(|memory_mb| REQUEST_HEADROOM * memory_mb);
    let sends_retry_after = settings
        .get(settings_keys::SENDS_RETRY_AFTER)
        .is_none_or(|value| settings::is_true(value));
    let retry_after_ms = settings.millis(settings_keys::MAX_RETRY_AFTER_US);
    let max_buffered_bytes = (limits.memory_bytes * READ_AHEAD_MEMORY_FRACTION) as usize;
    AdmissionLimits {
        max_connections: limits
            .connections(CLIENT_SOCKET_FRACTION)
            .min(max_buffered_bytes / MIN_READ_AHEAD_BYTES),
        max_buffered_bytes,
        resource_groups: groups
            .iter()
            .filter_map(|group| group.name.clone())
            .collect(),
        tenants: read_tenant_names(settings),
        max_wait_ms,
        max_cost_ms: positive_or_default(max_cost_ms),
        max_memory_mb: positive_or_default(max_memory_mb),
        retry_after_ms: retry_after_ms.filter(|_| sends_retry_after),
    }
}

/// The largest number in a list of the settings. Items that are not numbers are skipped.
fn max_of_list(settings: &SettingsMap, path: &str) -> Option<f64> {
    settings
        .list(path)
        .iter()
        .filter_map(|number| number.parse::<f64>().ok())
        .reduce(f64::max)
}

/// The estimate if it is above 0, or else [`DEFAULT_MAX_ESTIMATE`].
fn positive_or_default(estimate: Option<f64>) -> f64 {
    estimate
        .filter(|estimate| *estimate > 0.0)
        .unwrap_or(DEFAULT_MAX_ESTIMATE)
}
