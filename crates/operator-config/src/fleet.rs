//! A fleet as the file tells it, as the decisions take it.

use crate::check::Faults;
use crate::schema;
use std::collections::HashSet;
use std::net::SocketAddr;
use tansymux_coordination::disruption_budget::{DisruptionBudget, Limit};
use tansymux_coordination::QuorumConfig;
use tansymux_membership::Keys;
use tansymux_rollout::canary_analysis::AnalysisConfig;
use tansymux_rollout::{FleetConfig, RolloutConfig, RolloutPlan};

const MAX_VOTERS: usize = 9;
const MAX_NAME: usize = 64;

/// The number by which halls, versions and engines go round: FNV-1a over the name, never 0.
pub fn number_of(name: &str) -> u32 {
    name.bytes()
        .fold(0x811c_9dc5_u32, |hash, b| {
            (hash ^ u32::from(b)).wrapping_mul(0x0100_0193)
        })
        .max(1)
}

fn key(hex: &str) -> Option<[u8; 16]> {
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
            signing: Some(key(told.key())?),
            also_accepted: key(told.also_opens()),
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

pub(crate) fn check(told: &schema::Fleet, faults: &mut Faults) {
    let name = |name: &str| {
        !name.is_empty() && name.len() <= MAX_NAME && !name.contains(char::is_whitespace)
    };
    let allowed = "a name of 1 to 64 bytes without blanks";
    match &told.name {
        Some(given) if name(given) => {}
        Some(given) => faults.add("fleet.name", format!("{given:?}"), allowed),
        None => faults.add("fleet.name", "missing", allowed),
    }
    let allowed = "an address and port of IPv4, as in 127.0.0.1:7946";
    let address = |text: &str| {
        text.parse::<SocketAddr>()
            .is_ok_and(|at| at.is_ipv4() && at.port() != 0)
    };
    match &told.listen {
        Some(given) if address(given) => {}
        Some(given) => faults.add("fleet.listen", format!("{given:?}"), allowed),
        None => faults.add("fleet.listen", "missing", allowed),
    }
    if let Some(given) = told.address.as_ref().filter(|given| !address(given)) {
        faults.add("fleet.address", format!("{given:?}"), allowed);
    }
    for (n, given) in told
        .seed
        .iter()
        .enumerate()
        .filter(|(_, given)| !address(given))
    {
        faults.add(&format!("fleet.seed.{n}"), format!("{given:?}"), allowed);
    }
    let many = told.voter.len();
    if many.is_multiple_of(2) || many > MAX_VOTERS {
        let allowed = "an odd number of names from 1 to 9";
        faults.add("fleet.voter", format!("{many} names"), allowed);
    }
    let mut seen = HashSet::new();
    for (n, given) in told.voter.iter().enumerate() {
        let key = format!("fleet.voter.{n}");
        if !name(given) {
            faults.add(
                &key,
                format!("{given:?}"),
                "a name of 1 to 64 bytes without blanks",
            );
        } else if !seen.insert(given) {
            faults.add(&key, format!("{given:?} a second time"), "each voter once");
        }
    }
    for (which, given) in [("key", &told.key), ("also_opens", &told.also_opens)] {
        // What is wrong with a key is told, the key is not.
        if let Some(given) = given.as_ref().filter(|given| key(given).is_none()) {
            faults.add(
                &format!("fleet.{which}"),
                format!("{} characters", given.len()),
                "32 hex digits",
            );
        }
    }
    if told.key.is_none() {
        faults.add("fleet.key", "missing", "32 hex digits");
    }
    if let Some(t) = &told.timing {
        faults.within("fleet.timing.late_s", t.late_s, 0.0, 60.0);
        faults.within("fleet.timing.period_s", t.period_s, 0.1, 10.0);
        faults.within("fleet.timing.timeout_s", t.timeout_s, 0.03, 5.0);
        faults.within("fleet.timing.lead_s", t.lead_s, 0.5, 60.0);
        faults.within("fleet.timing.skew", t.skew, 0.0, 0.1);
        faults.within("fleet.timing.settle_s", t.settle_s, 1.0, 60.0);
    }
    for (which, b) in [
        ("dispatchers", &told.dispatchers),
        ("engines", &told.engines),
    ] {
        let Some(b) = b else { continue };
        for (name, part) in [
            ("most_part", b.most_part),
            ("hall_part", b.hall_part),
            ("version_part", b.version_part),
        ] {
            faults.within(&format!("fleet.{which}.{name}"), part, 0.001, 1.0);
        }
        faults.within(&format!("fleet.{which}.apart_s"), b.apart_s, 0.0, 3600.0);
        faults.within(&format!("fleet.{which}.carry"), b.carry, 0.1, 1.0);
    }
    if let Some(t) = &told.turns {
        faults.within("fleet.turns.turn_s", t.turn_s, 2.0, 600.0);
        faults.within("fleet.turns.canaries", t.canaries, 0.0, 100.0);
        faults.within("fleet.turns.canary_s", t.canary_s, 1.0, 86_400.0);
        faults.within("fleet.turns.pause_s", t.pause_s, 0.0, 86_400.0);
        faults.within("fleet.turns.lost", t.lost, 0.0, 1000.0);
        faults.within("fleet.turns.left_s", t.left_s, 1.0, 86_400.0);
        faults.within("fleet.turns.window_s", t.window_s, 0.5, 60.0);
        faults.within("fleet.turns.chance", t.chance, 0.0001, 0.2);
        faults.within("fleet.turns.least", t.least, 0.0, 1.0);
        faults.within("fleet.turns.pairs", t.pairs, 3.0, 1000.0);
        faults.within("fleet.turns.requests", t.requests, 1.0, 1e6);
    }
    if let Some(z) = &told.zones {
        let ranges = [
            ("lost_part", z.lost_part, 0.5, 1.0),
            ("sure_s", z.sure_s, 0.2, 60.0),
            ("known_part", z.known_part, 0.05, 1.0),
            ("most_left", z.most_left, 0.0, 1.0),
            ("carry", z.carry, 0.1, 1.0),
            ("first", z.first, 0.01, 1.0),
            ("whole", z.whole, 0.25, 8.0),
            ("steps", z.steps.map(f64::from), 1.0, 50.0),
            ("step_s", z.step_s, 0.2, 600.0),
            ("hold_s", z.hold_s, 0.5, 3600.0),
            ("hold_most_s", z.hold_most_s, 1.0, 86_400.0),
            ("calm_s", z.calm_s, 1.0, 86_400.0),
            ("term_s", z.term_s, 1.0, 60.0),
            ("own_after_s", z.own_after_s, 1.0, 3600.0),
        ];
        for (name, given, least, most) in ranges {
            faults.within(&format!("fleet.zones.{name}"), given, least, most);
        }
    }
    if let Some(e) = &told.ejection {
        match e.witnesses {
            None => faults.add("fleet.ejection.witnesses", "missing", "2 to 1000"),
            most => faults.within("fleet.ejection.witnesses", most, 2.0, 1000.0),
        }
        faults.within("fleet.ejection.out_s", e.out_s, 1.0, 3600.0);
        faults.within("fleet.ejection.part", e.part, 0.1, 1.0);
        faults.within("fleet.ejection.ends", e.ends, 3.0, 1000.0);
    }
}
