//! Converts `fleet` of the operators' file and the environment into the fleet service's settings.

use super::FleetStartError;
use std::net::SocketAddr;
use tansymux_operator_config::{name_hash, schema};
use tansymux_rollout::engine_outcomes::FailureThreshold;
use tansymux_rollout::FleetConfig;

/// Environment variable with the restart lease (hexadecimal) under which this process was started.
const RESTART_LEASE_VARIABLE: &str = "TANSYMUX_TURN";

/// Returns the configuration of this member. `zone_hash`: name hash of the local zone, or 0 without a local zone.
///
/// # Errors
/// A required key is missing or malformed.
pub(super) fn member_config(
    definition: &schema::Fleet,
    zone_hash: u32,
) -> Result<FleetConfig, FleetStartError> {
    let mut config = tansymux_operator_config::fleet_config(definition, restart_lease())
        .ok_or(FleetStartError::Incomplete)?;
    if let Some(zones) = &mut config.zones {
        zones.local_zone = zone_hash;
    }
    Ok(config)
}

/// Returns the restart lease in the environment, or 0 if it is missing or malformed.
fn restart_lease() -> u64 {
    let Ok(lease) = std::env::var(RESTART_LEASE_VARIABLE) else {
        return 0;
    };
    u64::from_str_radix(lease.trim(), 16).unwrap_or(0)
}

/// Returns the seed of the member's random numbers, which identify its incarnation. Time and process id are mixed in,
/// because the platform's seed may be the same at the next start.
pub(super) fn incarnation_seed(seed: u64, now_ms: f64) -> u64 {
    seed ^ (now_ms * 1000.0) as u64 ^ u64::from(std::process::id()) << 32
}

/// Parses the address of `fleet.listen`.
pub(super) fn listen_address(definition: &schema::Fleet) -> Result<SocketAddr, FleetStartError> {
    let listen = definition.listen();
    listen.parse().map_err(|_| FleetStartError::InvalidListen {
        value: listen.to_owned(),
    })
}

/// Returns the failures at which an engine is an outlier; `None` without `fleet.ejection`.
pub(super) fn failure_threshold(definition: &schema::Fleet) -> Option<FailureThreshold> {
    let ejection = definition.ejection.as_ref()?;
    Some(FailureThreshold {
        min_attempts: ejection.ends(),
        failure_fraction: ejection.part(),
    })
}

/// Returns the hash of the version that this member reports: `fleet.version`, or else the program's version.
pub(super) fn version_hash(definition: &schema::Fleet) -> u32 {
    let version = definition.version.as_deref();
    name_hash(version.unwrap_or(env!("CARGO_PKG_VERSION")))
}
