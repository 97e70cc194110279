//! A fleet as the file tells it, as the decisions take it.

use crate::schema;
use std::net::SocketAddr;
use tansymux_coordination::disruption_budget::{DisruptionBudget, Limit};
use tansymux_coordination::QuorumConfig;
use tansymux_membership::Keys;
use tansymux_rollout::canary_analysis::AnalysisConfig;
use tansymux_rollout::{FleetConfig, RolloutConfig, RolloutPlan};

/// The number by which halls, versions and engines go round: FNV-1a over the name, never 0.
pub fn number_of(name: &str) -> u32 {
    name.bytes()
        .fold(0x811c_9dc5_u32, |hash, b| {
            (hash ^ u32::from(b)).wrapping_mul(0x0100_0193)
        })
        .max(1)
}

pub(crate) fn parse_key(hex: &str) -> Option<[u8; 16]> {
    if hex.len() != 32 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut key = [0; 16];
    for (n, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(key)
}

fn bounds(told: Option<&schema::fleet::Bounds>) -> DisruptionBudget {
    let told = told.copied().unwrap_or_default();
    let most = |number, part| Limit {
        max_count: number,
        max_fraction: part,
    };
    let fleet = match (told.most, told.most_part) {
        (None, None) => DisruptionBudget::default().fleet,
        (number, part) => most(number, part),
    };
    DisruptionBudget {
        fleet,
        zone: most(told.hall_most, told.hall_part),
        version: most(told.version_most, told.version_part),
        min_interval_ms: told.apart_s() * 1000.0,
        max_utilization: told.carry(),
    }
}

/// The settings that the file tells; `turn`: the turn under which the program was started. None where a needed one is
/// missing: see `check`.
pub fn fleet(told: &schema::Fleet, turn: u64) -> Option<FleetConfig> {
    let address = |text: &str| text.parse::<SocketAddr>().ok().filter(SocketAddr::is_ipv4);
    let timing = told.timing.unwrap_or_default();
    let turns = told.turns.clone().unwrap_or_default();
    let plan = RolloutPlan {
        canary_count: turns.canaries() as usize,
        canary_observation_ms: turns.canary_s() * 1000.0,
        continue_if_inconclusive: turns.goes_on_untold(),
        zone_order: turns.hall.iter().map(|hall| number_of(hall)).collect(),
        zone_pause_ms: turns.pause_s() * 1000.0,
        max_lost_members: turns.lost() as usize,
        analysis: AnalysisConfig {
            window_ms: turns.window_s() * 1000.0,
            significance: turns.chance(),
            min_difference: turns.least(),
            min_pairs: turns.pairs() as usize,
            min_requests: turns.requests(),
        },
    };
    let ejection = told.ejection.as_ref();
    let decided = RolloutConfig {
        dispatchers: bounds(told.dispatchers.as_ref()),
        engines: bounds(told.engines.as_ref()),
        plan,
        lease_term_ms: turns.turn_s() * 1000.0,
        settle_ms: timing.settle_s() * 1000.0,
        left_retention_ms: turns.left_s() * 1000.0,
        ejection_witnesses: ejection.map(|ejection| ejection.witnesses() as usize),
        ejection_term_ms: ejection.map_or(0.0, |ejection| ejection.out_s() * 1000.0),
    };
    let membership = tansymux_membership::Config {
        period_ms: timing.period_s() * 1000.0,
        probe_timeout_ms: timing.timeout_s() * 1000.0,
        seeds: told.seed.iter().filter_map(|seed| address(seed)).collect(),
        ..tansymux_membership::Config::default()
    };
    let zones = told
        .zones
        .as_ref()
        .map(|zones| (0, zones_of(zones, timing.skew())));
    let lead = timing.lead_s() * 1000.0;
    let quorum = QuorumConfig {
        leader_lease_ms: lead,
        max_grant_ms: decided.lease_term_ms.max(decided.ejection_term_ms),
        max_clock_skew: timing.skew(),
        retransmit_ms: lead / 10.0,
        max_datagram_delay_ms: timing.late_s() * 1000.0,
    };
    Some(FleetConfig {
        name: told.name.clone()?,
        address: address(told.address.as_deref().or(told.listen.as_deref())?)?,
        voters: told.voter.clone(),
        membership,
        quorum,
        keys: Keys {
            signing: Some(parse_key(told.key())?),
            also_accepted: parse_key(told.also_opens()),
        },
        fresh: told.fresh(),
        grant_id: turn,
        rollout: decided,
        zones,
    })
}

fn zones_of(told: &schema::fleet::Zones, skew: f64) -> tansymux_zone_evacuation::Config {
    tansymux_zone_evacuation::Config {
        lost_fraction: told.lost_part(),
        confirm_ms: told.sure_s() * 1000.0,
        min_witness_fraction: told.known_part(),
        max_evacuated_fraction: told.most_left(),
        spill_capacity_fraction: told.carry(),
        initial_ramp_fraction: told.first(),
        full_threads_per_core: told.whole(),
        ramp_steps: told.steps().min(255) as u8,
        ramp_step_ms: told.step_s() * 1000.0,
        min_evacuation_ms: told.hold_s() * 1000.0,
        max_evacuation_ms: told.hold_most_s() * 1000.0,
        flap_window_ms: told.calm_s() * 1000.0,
        quota_term_ms: told.term_s() * 1000.0,
        autonomy_after_ms: told.own_after_s() * 1000.0,
        clock_skew: skew,
    }
}
