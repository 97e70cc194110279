//! How the program's limits on descriptors and memory are divided, and what follows from the settings for the client
//! side and the engine side.

use super::groups::{read_tenant_names, ConfiguredGroup};
use super::node::{ErrorCollector, Node};
use crate::client::AdmissionLimits;
use crate::engine::ConnectionSettings;
use tansymux::settings::{self, RawSettings, SettingsMap};

/// Fewest descriptors that the program runs with.
const MIN_SOCKETS: f64 = 64.0;
/// `limits.sockets` where the configuration does not say: the usual soft limit of a process.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Least memory that the program runs with.
const MIN_MEMORY_MB: f64 = 16.0;
/// `limits.memory_mb` where the configuration does not say.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Bytes of a megabyte.
const BYTES_PER_MB: u32 = 1 << 20;
/// `limits.connect-timeout-us` where the settings do not say, in ms: the protocol's example.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// `limits.conn-idle-us` where the settings do not say, in ms: the protocol's example.
const DEFAULT_IDLE_MS: f64 = 30_000.0;
/// `limits.streams-per-conn` where the settings do not say: the protocol's example.
const DEFAULT_STREAMS: f64 = 32.0;
/// Fraction of the descriptor limit that connections from clients may use. The protocol lets them hold a third.
const CLIENT_SOCKET_FRACTION: f64 = 0.5;
/// Fraction of the descriptor limit that connections to engines may use.
const ENGINE_SOCKET_FRACTION: f64 = 0.35;
/// Descriptors that neither clients nor engines may use: three standard streams, three pipes for signals, three of the
/// event loop, the listener, a socket for the name service and one that takes its place, those of peers and fleet, a
/// file that is read again, and some to spare.
const RESERVED_SOCKETS: f64 = 20.0;
/// Fraction of the memory limit that statements in flight may use.
const STATEMENT_MEMORY_FRACTION: f64 = 0.2;
/// Fraction of the memory limit that bytes which clients sent ahead may use.
const READ_AHEAD_MEMORY_FRACTION: f64 = 0.1;
/// A query may name at most this many times what the settings know: their longest deadline, the work that their largest
/// engine can do in that time, and the memory of that engine.
const REQUEST_HEADROOM: f64 = 4.0;
/// Longest wait (ms) that a query may name where the settings have no deadline: an hour.
const DEFAULT_MAX_WAIT_MS: f64 = 3_600_000.0;
/// Largest estimate (ms on one core, or MB) that a query may name where the settings do not say how large engines are.
const DEFAULT_MAX_ESTIMATE: f64 = 1e9;

/// The program's own limits, from `limits`.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProcessLimits {
    /// Descriptors.
    pub sockets: f64,
    pub memory_bytes: f64,
}

impl ProcessLimits {
    pub(super) fn read(root: &Node, errors: &mut ErrorCollector) -> Self {
        let limits = root.child("limits");
        let sockets = errors.number_or(&limits.child("sockets"), DEFAULT_SOCKETS, MIN_SOCKETS);
        let memory_mb =
            errors.number_or(&limits.child("memory_mb"), DEFAULT_MEMORY_MB, MIN_MEMORY_MB);
        ProcessLimits {
            sockets,
            memory_bytes: memory_mb * f64::from(BYTES_PER_MB),
        }
    }

    /// Bytes of statements in flight at most.
    pub(super) fn max_statement_bytes(self) -> usize {
        (self.memory_bytes * STATEMENT_MEMORY_FRACTION) as usize
    }

    /// Connections that one side gets for its fraction of the descriptors.
    fn connections(self, fraction: f64) -> usize {
        let total_fraction = CLIENT_SOCKET_FRACTION + ENGINE_SOCKET_FRACTION;
        let shared = (self.sockets - RESERVED_SOCKETS).min(self.sockets * total_fraction);
        (shared * fraction / total_fraction) as usize
    }
}

/// What the engine side needs of the settings.
pub(super) fn read_engine_settings(
    root: &Node,
    limits: ProcessLimits,
    groups: &[ConfiguredGroup],
    errors: &mut ErrorCollector,
) -> ConnectionSettings {
    let settings = root.child("settings");
    let protocol = settings.child("limits");
    let notes_every = settings.child("family-info").child("tells-every-us");
    let notes_every_us = errors.number_or(&notes_every, 0.0, 0.0);
    let connect_timeout = protocol.child("connect-timeout-us");
    let connect_timeout_us =
        errors.number_or(&connect_timeout, DEFAULT_CONNECT_TIMEOUT_MS * 1e3, 1.0);
    let idle_us = errors.number_or(&protocol.child("conn-idle-us"), DEFAULT_IDLE_MS * 1e3, 1.0);
    let streams = errors.number_or(&protocol.child("streams-per-conn"), DEFAULT_STREAMS, 1.0);
    let shortest_objective_ms = groups
        .iter()
        .filter_map(|group| group.latency_objective_ms)
        .reduce(f64::min);
    ConnectionSettings {
        shortest_objective_ms: shortest_objective_ms.unwrap_or(0.0),
        progress_interval_ms: notes_every_us / 1e3,
        connect_timeout_ms: connect_timeout_us / 1e3,
        idle_timeout_ms: idle_us / 1e3,
        max_streams: streams as usize,
        max_connections: limits.connections(ENGINE_SOCKET_FRACTION),
    }
}

/// What the client side needs of the settings. `max_deadline_ms`: of all groups, if any has one.
pub(super) fn read_admission(
    settings: &SettingsMap,
    limits: ProcessLimits,
    groups: &[ConfiguredGroup],
    max_deadline_ms: Option<f64>,
) -> AdmissionLimits {
    let max_wait_ms = max_deadline_ms.map_or(DEFAULT_MAX_WAIT_MS, |deadline_ms| {
        REQUEST_HEADROOM * deadline_ms
    });
    let max_cost_ms =
        largest(settings, "family-info.cores-by-kind").map(|cores| cores * max_wait_ms);
    let max_memory_mb =
        largest(settings, "family-info.kind-memory-mb").map(|mb| REQUEST_HEADROOM * mb);
    let sends_retry_after = settings
        .get("limits.retry-after")
        .is_none_or(|value| settings::is_true(value));
    let retry_after_ms = settings.millis("limits.max-retry-after-us");
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

/// The largest number of a list of the settings.
fn largest(settings: &SettingsMap, path: &str) -> Option<f64> {
    settings
        .list(path)
        .iter()
        .filter_map(|number| number.parse::<f64>().ok())
        .reduce(f64::max)
}

fn positive_or_default(estimate: Option<f64>) -> f64 {
    estimate
        .filter(|max| *max > 0.0)
        .unwrap_or(DEFAULT_MAX_ESTIMATE)
}
