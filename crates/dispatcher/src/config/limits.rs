//! Division of the program's descriptors and memory, and the limits of the client side and the engine side that follow
//! from the settings.

use super::groups::{read_tenant_names, ConfiguredGroup};
use super::keys;
use super::node::{ErrorCollector, Node};
use crate::client::AdmissionLimits;
use crate::engine::ConnectionSettings;
use tansymux::settings::{self, keys as settings_keys, RawSettings, SettingsMap};

/// Fewest descriptors that the program runs with.
const MIN_SOCKETS: f64 = 64.0;
/// `limits.sockets` where the configuration does not say: the usual soft limit of a process.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Least memory that the program runs with.
const MIN_MEMORY_MB: f64 = 16.0;
/// `limits.memory_mb` where the configuration does not say.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;
/// Bytes in a megabyte.
const BYTES_PER_MB: u32 = 1 << 20;
/// Connect timeout (ms) where the settings have none; the protocol's example.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Idle time (ms) after which an engine closes a connection, where the settings have none; the protocol's example.
const DEFAULT_IDLE_MS: f64 = 30_000.0;
/// Attempts in flight on a connection where the settings have no limit; the protocol's example.
const DEFAULT_STREAMS: f64 = 32.0;
/// Fraction of the descriptor limit that connections from clients may use. The protocol lets them hold a third.
const CLIENT_SOCKET_FRACTION: f64 = 0.5;
/// Fraction of the descriptor limit that connections to engines may use.
const ENGINE_SOCKET_FRACTION: f64 = 0.35;
/// Descriptors that neither clients nor engines may use: three standard streams, three pipes for signals, three of the
/// event loop, the listener, two for the name service (its socket and the next one), those of peers and fleet, a file
/// during a reload, and a reserve.
const RESERVED_SOCKETS: f64 = 20.0;
/// Fraction of the memory limit that statements in flight may use.
const STATEMENT_MEMORY_FRACTION: f64 = 0.2;
/// Fraction of the memory limit that bytes read ahead from clients may use.
const READ_AHEAD_MEMORY_FRACTION: f64 = 0.1;
/// Multiple of the settings' maximum that a query may name: of the longest deadline, of the work that the largest engine
/// can do in that time, and of that engine's memory.
const REQUEST_HEADROOM: f64 = 4.0;
/// Longest wait (ms) that a query may name where the settings have no deadline: one hour.
const DEFAULT_MAX_WAIT_MS: f64 = 3_600_000.0;
/// Largest estimate (ms on one core, or MB) that a query may name where the settings do not say how large engines are.
const DEFAULT_MAX_ESTIMATE: f64 = 1e9;

/// The program's own limits, from `limits`.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProcessLimits {
    /// Descriptors that the program may hold.
    pub sockets: f64,
    /// Memory that the program may use.
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

    /// Maximum bytes of statements in flight.
    pub(super) fn max_statement_bytes(self) -> usize {
        (self.memory_bytes * STATEMENT_MEMORY_FRACTION) as usize
    }

    /// Maximum connections of one side, for its fraction of the descriptors.
    fn connections(self, fraction: f64) -> usize {
        let total_fraction = CLIENT_SOCKET_FRACTION + ENGINE_SOCKET_FRACTION;
        let shared = (self.sockets - RESERVED_SOCKETS).min(self.sockets * total_fraction);
        (shared * fraction / total_fraction) as usize
    }
}

/// The engine side's settings.
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

/// The client side's limits. `max_deadline_ms`: the longest of all groups, if any has one.
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
    AdmissionLimits {
        max_connections: limits.connections(CLIENT_SOCKET_FRACTION),
        max_buffered_bytes: (limits.memory_bytes * READ_AHEAD_MEMORY_FRACTION) as usize,
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

/// The largest number in a list of the settings. Items that are no numbers are skipped.
fn max_of_list(settings: &SettingsMap, path: &str) -> Option<f64> {
    settings
        .list(path)
        .iter()
        .filter_map(|number| number.parse::<f64>().ok())
        .reduce(f64::max)
}

/// The maximum of a query's estimate: [`DEFAULT_MAX_ESTIMATE`] where the settings give none above 0.
fn positive_or_default(estimate: Option<f64>) -> f64 {
    estimate
        .filter(|max| *max > 0.0)
        .unwrap_or(DEFAULT_MAX_ESTIMATE)
}
