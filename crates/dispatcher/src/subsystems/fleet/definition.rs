//! Conversion of `fleet` of the operators' file, and of the environment, into the fleet service's settings.

use super::FleetStartError;
use std::net::SocketAddr;
use tansymux_operator_config::{name_hash, schema};
use tansymux_rollout::engine_outcomes::FailureThreshold;
use tansymux_rollout::FleetConfig;

/// Environment variable with the restart lease (in hex) under which the program is started.
const RESTART_LEASE_VARIABLE: &str = "TANSYMUX_TURN";

/// The configuration of this member, whose zone has the hash `zone_hash`.
///
/// # Errors
/// A required key is missing.
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

/// The restart lease that the environment names; 0 without one or if it is malformed.
fn restart_lease() -> u64 {
    let Ok(lease) = std::env::var(RESTART_LEASE_VARIABLE) else {
        return 0;
    };
    u64::from_str_radix(lease.trim(), 16).unwrap_or(0)
}

/// The seed of the member's random numbers, which identify its incarnation. The platform's seed may be the same at the
/// next start, so the time and the process id are mixed in.
pub(super) fn incarnation_seed(seed: u64, now_ms: f64) -> u64 {
    seed ^ (now_ms * 1000.0) as u64 ^ u64::from(std::process::id()) << 32
}

/// The address of `fleet.listen`.
pub(super) fn listen_address(definition: &schema::Fleet) -> Result<SocketAddr, FleetStartError> {
    let listen = definition.listen();
    listen.parse().map_err(|_| FleetStartError::InvalidListen {
        value: listen.to_owned(),
    })
}

/// The failures at which an engine counts as an outlier; none where engines are not ejected.
pub(super) fn failure_threshold(definition: &schema::Fleet) -> Option<FailureThreshold> {
    let ejection = definition.ejection.as_ref()?;
    Some(FailureThreshold {
        min_attempts: ejection.ends(),
        failure_fraction: ejection.part(),
    })
}

/// Hash of the version that this member reports: that of the operators' file, else the program's.
pub(super) fn version_hash(definition: &schema::Fleet) -> u32 {
    let version = definition.version.as_deref();
    name_hash(version.unwrap_or(env!("CARGO_PKG_VERSION")))
}
