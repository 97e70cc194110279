//! Conversion of the block `fleet` into the configuration of the rollout, coordination, membership and zone evacuation
//! packages.

use crate::schema;
use crate::units::MS_PER_S;
use std::net::SocketAddr;
use tansymux_coordination::disruption_budget::{DisruptionBudget, Limit};
use tansymux_coordination::QuorumConfig;
use tansymux_membership::Keys;
use tansymux_rollout::canary_analysis::AnalysisConfig;
use tansymux_rollout::{FleetConfig, RolloutConfig, RolloutPlan, ZoneEvacuation};

/// Number of retransmissions of a quorum record within the leader's lease.
const RETRANSMITS_PER_LEASE: f64 = 10.0;
/// Maximum number of ramp steps: a step is one byte in messages.
const MAX_RAMP_STEPS: u32 = 255;
/// Length of a key that signs datagrams (bytes).
const KEY_BYTES: usize = 16;
/// Placeholder for the local zone: the file does not contain it, and the program sets it later. [`name_hash`] never
/// returns this value.
const UNKNOWN_ZONE: u32 = 0;

/// The id of a zone, version or engine in messages: the 32-bit FNV-1a hash of its name, or 1 if the hash is 0.
pub fn name_hash(name: &str) -> u32 {
    tansymux_codec::fnv1a_32(name.as_bytes()).max(1)
}

/// The fleet's configuration; `None` if a required field is missing or malformed, which [`parse`](crate::parse)
/// rejects. `grant_id` is the restart lease under which the program was started, or 0 without a lease.
pub fn fleet_config(fleet: &schema::Fleet, grant_id: u64) -> Option<FleetConfig> {
    let timing = fleet.timing.unwrap_or_default();
    let rollout = rollout_config(fleet, &timing);
    let quorum = quorum_config(&timing, &rollout);
    let address = fleet.address.as_deref().or(fleet.listen.as_deref())?;
    let zones = fleet.zones.as_ref();
    Some(FleetConfig {
        name: fleet.name.clone()?,
        address: parse_address(address)?,
        voters: fleet.voter.clone(),
        membership: membership_config(fleet, &timing),
        quorum,
        keys: Keys {
            signing: Some(parse_key(fleet.key())?),
            also_accepted: parse_key(fleet.also_opens()),
        },
        fresh: fleet.fresh(),
        grant_id,
        rollout,
        zones: zones.map(|zones| ZoneEvacuation {
            local_zone: UNKNOWN_ZONE,
            config: evacuation_config(zones, timing.skew()),
        }),
    })
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(SocketAddr::is_ipv4)
}

/// Parses a key of 32 hexadecimal digits.
pub(crate) fn parse_key(hex: &str) -> Option<[u8; KEY_BYTES]> {
    if hex.len() != 2 * KEY_BYTES || !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (index, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(key)
}

fn rollout_config(fleet: &schema::Fleet, timing: &schema::fleet::Timing) -> RolloutConfig {
    let turns = fleet.turns.clone().unwrap_or_default();
    let ejection = fleet.ejection.as_ref();
    RolloutConfig {
        dispatchers: disruption_budget(fleet.dispatchers.as_ref()),
        engines: disruption_budget(fleet.engines.as_ref()),
        plan: rollout_plan(&turns),
        lease_term_ms: turns.turn_s() * MS_PER_S,
        settle_ms: timing.settle_s() * MS_PER_S,
        left_retention_ms: turns.left_s() * MS_PER_S,
        ejection_witnesses: ejection.map(|ejection| ejection.witnesses() as usize),
        ejection_term_ms: ejection.map_or(0.0, |ejection| ejection.out_s() * MS_PER_S),
    }
}

fn rollout_plan(turns: &schema::fleet::Turns) -> RolloutPlan {
    RolloutPlan {
        canary_count: turns.canaries() as usize,
        canary_observation_ms: turns.canary_s() * MS_PER_S,
        continue_if_inconclusive: turns.goes_on_untold(),
        zone_order: turns.hall.iter().map(|zone| name_hash(zone)).collect(),
        zone_pause_ms: turns.pause_s() * MS_PER_S,
        max_lost_members: turns.lost() as usize,
        analysis: AnalysisConfig {
            window_ms: turns.window_s() * MS_PER_S,
            significance: turns.chance(),
            min_difference: turns.least(),
            min_pairs: turns.pairs() as usize,
            min_requests: turns.requests(),
        },
    }
}

fn disruption_budget(bounds: Option<&schema::fleet::Bounds>) -> DisruptionBudget {
    let bounds = bounds.copied().unwrap_or_default();
    let fleet_limit = limit(bounds.most, bounds.most_part);
    let is_fleet_unlimited = bounds.most.is_none() && bounds.most_part.is_none();
    DisruptionBudget {
        fleet: if is_fleet_unlimited {
            DisruptionBudget::default().fleet
        } else {
            fleet_limit
        },
        zone: limit(bounds.hall_most, bounds.hall_part),
        version: limit(bounds.version_most, bounds.version_part),
        min_interval_ms: bounds.apart_s() * MS_PER_S,
        max_utilization: bounds.carry(),
    }
}

fn limit(max_count: Option<u32>, max_fraction: Option<f64>) -> Limit {
    Limit {
        max_count,
        max_fraction,
    }
}

fn membership_config(
    fleet: &schema::Fleet,
    timing: &schema::fleet::Timing,
) -> tansymux_membership::Config {
    let seeds = fleet.seed.iter();
    tansymux_membership::Config {
        period_ms: timing.period_s() * MS_PER_S,
        probe_timeout_ms: timing.timeout_s() * MS_PER_S,
        seeds: seeds.filter_map(|seed| parse_address(seed)).collect(),
        ..tansymux_membership::Config::default()
    }
}

fn quorum_config(timing: &schema::fleet::Timing, rollout: &RolloutConfig) -> QuorumConfig {
    let leader_lease_ms = timing.lead_s() * MS_PER_S;
    QuorumConfig {
        leader_lease_ms,
        max_grant_ms: rollout.lease_term_ms.max(rollout.ejection_term_ms),
        max_clock_skew: timing.skew(),
        retransmit_ms: leader_lease_ms / RETRANSMITS_PER_LEASE,
        max_datagram_delay_ms: timing.late_s() * MS_PER_S,
    }
}

fn evacuation_config(
    zones: &schema::fleet::Zones,
    clock_skew: f64,
) -> tansymux_zone_evacuation::Config {
    tansymux_zone_evacuation::Config {
        lost_fraction: zones.lost_part(),
        confirm_ms: zones.sure_s() * MS_PER_S,
        min_witness_fraction: zones.known_part(),
        max_evacuated_fraction: zones.most_left(),
        spill_capacity_fraction: zones.carry(),
        initial_ramp_fraction: zones.first(),
        full_threads_per_core: zones.whole(),
        ramp_steps: zones.steps().min(MAX_RAMP_STEPS) as u8,
        ramp_step_ms: zones.step_s() * MS_PER_S,
        min_evacuation_ms: zones.hold_s() * MS_PER_S,
        max_evacuation_ms: zones.hold_most_s() * MS_PER_S,
        flap_window_ms: zones.calm_s() * MS_PER_S,
        quota_term_ms: zones.term_s() * MS_PER_S,
        autonomy_after_ms: zones.own_after_s() * MS_PER_S,
        clock_skew,
    }
}
