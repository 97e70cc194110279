//! Checks of the block `fleet`.

use crate::error_collector::ErrorCollector;
use crate::fleet::parse_key;
use crate::schema::fleet::{Bounds, Ejection, Timing, Turns, Zones};
use crate::schema::Fleet;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Maximum number of voters. More voters would tolerate more failures than is useful, and slow down each round.
const MAX_VOTERS: usize = 9;
/// Maximum length of a member's name (bytes).
const MAX_NAME_BYTES: usize = 64;
/// Description of the allowed names in error texts.
const ALLOWED_NAME: &str = "a name of 1 to 64 bytes without blanks";
/// Description of the allowed addresses in error texts.
const ALLOWED_ADDRESS: &str = "an IPv4 address and port, as in 127.0.0.1:7946";
/// Description of the allowed keys in error texts.
const ALLOWED_KEY: &str = "32 hex digits";

pub(super) fn validate(fleet: &Fleet, errors: &mut ErrorCollector) {
    validate_addresses(fleet, errors);
    validate_voters(&fleet.voter, errors);
    validate_keys(fleet, errors);
    if let Some(timing) = &fleet.timing {
        validate_timing(timing, errors);
    }
    if let Some(bounds) = &fleet.dispatchers {
        validate_bounds("fleet.dispatchers", bounds, errors);
    }
    if let Some(bounds) = &fleet.engines {
        validate_bounds("fleet.engines", bounds, errors);
    }
    if let Some(turns) = &fleet.turns {
        validate_turns(turns, errors);
    }
    if let Some(zones) = &fleet.zones {
        validate_zones(zones, errors);
    }
    if let Some(ejection) = &fleet.ejection {
        validate_ejection(ejection, errors);
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.contains(char::is_whitespace)
}

fn is_address(text: &str) -> bool {
    match text.parse::<SocketAddr>() {
        Ok(address) => address.is_ipv4() && address.port() != 0,
        Err(_) => false,
    }
}

fn validate_addresses(fleet: &Fleet, errors: &mut ErrorCollector) {
    match &fleet.name {
        Some(name) if is_name(name) => {}
        Some(name) => errors.add("fleet.name", format!("{name:?}"), ALLOWED_NAME),
        None => errors.add_missing("fleet.name", ALLOWED_NAME),
    }
    match &fleet.listen {
        Some(address) if is_address(address) => {}
        Some(address) => errors.add("fleet.listen", format!("{address:?}"), ALLOWED_ADDRESS),
        None => errors.add_missing("fleet.listen", ALLOWED_ADDRESS),
    }
    if let Some(address) = &fleet.address {
        if !is_address(address) {
            errors.add("fleet.address", format!("{address:?}"), ALLOWED_ADDRESS);
        }
    }
    for (index, address) in fleet.seed.iter().enumerate() {
        if !is_address(address) {
            let key = format!("fleet.seed.{index}");
            errors.add(&key, format!("{address:?}"), ALLOWED_ADDRESS);
        }
    }
}

fn validate_voters(voters: &[String], errors: &mut ErrorCollector) {
    let count = voters.len();
    if count.is_multiple_of(2) || count > MAX_VOTERS {
        let allowed = "an odd number of names from 1 to 9";
        errors.add("fleet.voter", format!("{count} names"), allowed);
    }
    let mut earlier = HashSet::new();
    for (index, name) in voters.iter().enumerate() {
        let key = format!("fleet.voter.{index}");
        if !is_name(name) {
            errors.add(&key, format!("{name:?}"), ALLOWED_NAME);
        } else if !earlier.insert(name) {
            errors.add(&key, format!("{name:?} a second time"), "each voter once");
        }
    }
}

fn validate_keys(fleet: &Fleet, errors: &mut ErrorCollector) {
    for (name, secret) in [("key", &fleet.key), ("also_opens", &fleet.also_opens)] {
        let Some(secret) = secret else { continue };
        if parse_key(secret).is_none() {
            // The message must not contain the secret.
            let found = format!("{} characters", secret.len());
            errors.add(&format!("fleet.{name}"), found, ALLOWED_KEY);
        }
    }
    if fleet.key.is_none() {
        errors.add_missing("fleet.key", ALLOWED_KEY);
    }
}

fn validate_timing(timing: &Timing, errors: &mut ErrorCollector) {
    errors.check_range("fleet.timing.late_s", timing.late_s, 0.0, 60.0);
    errors.check_range("fleet.timing.period_s", timing.period_s, 0.1, 10.0);
    errors.check_range("fleet.timing.timeout_s", timing.timeout_s, 0.03, 5.0);
    errors.check_range("fleet.timing.lead_s", timing.lead_s, 0.5, 60.0);
    errors.check_range("fleet.timing.skew", timing.skew, 0.0, 0.1);
    errors.check_range("fleet.timing.settle_s", timing.settle_s, 1.0, 60.0);
}

fn validate_bounds(key: &str, bounds: &Bounds, errors: &mut ErrorCollector) {
    for (name, fraction) in [
        ("most_part", bounds.most_part),
        ("hall_part", bounds.hall_part),
        ("version_part", bounds.version_part),
    ] {
        errors.check_range(&format!("{key}.{name}"), fraction, 0.001, 1.0);
    }
    errors.check_range(&format!("{key}.apart_s"), bounds.apart_s, 0.0, 3600.0);
    errors.check_range(&format!("{key}.carry"), bounds.carry, 0.1, 1.0);
}

fn validate_turns(turns: &Turns, errors: &mut ErrorCollector) {
    errors.check_range("fleet.turns.turn_s", turns.turn_s, 2.0, 600.0);
    errors.check_range("fleet.turns.canaries", turns.canaries, 0.0, 100.0);
    errors.check_range("fleet.turns.canary_s", turns.canary_s, 1.0, 86_400.0);
    errors.check_range("fleet.turns.pause_s", turns.pause_s, 0.0, 86_400.0);
    errors.check_range("fleet.turns.lost", turns.lost, 0.0, 1000.0);
    errors.check_range("fleet.turns.left_s", turns.left_s, 1.0, 86_400.0);
    errors.check_range("fleet.turns.window_s", turns.window_s, 0.5, 60.0);
    errors.check_range("fleet.turns.chance", turns.chance, 0.0001, 0.2);
    errors.check_range("fleet.turns.least", turns.least, 0.0, 1.0);
    errors.check_range("fleet.turns.pairs", turns.pairs, 3.0, 1000.0);
    errors.check_range("fleet.turns.requests", turns.requests, 1.0, 1e6);
}

fn validate_zones(zones: &Zones, errors: &mut ErrorCollector) {
    let steps = zones.steps.map(f64::from);
    errors.check_range("fleet.zones.lost_part", zones.lost_part, 0.5, 1.0);
    errors.check_range("fleet.zones.sure_s", zones.sure_s, 0.2, 60.0);
    errors.check_range("fleet.zones.known_part", zones.known_part, 0.05, 1.0);
    errors.check_range("fleet.zones.most_left", zones.most_left, 0.0, 1.0);
    errors.check_range("fleet.zones.carry", zones.carry, 0.1, 1.0);
    errors.check_range("fleet.zones.first", zones.first, 0.01, 1.0);
    errors.check_range("fleet.zones.whole", zones.whole, 0.25, 8.0);
    errors.check_range("fleet.zones.steps", steps, 1.0, 50.0);
    errors.check_range("fleet.zones.step_s", zones.step_s, 0.2, 600.0);
    errors.check_range("fleet.zones.hold_s", zones.hold_s, 0.5, 3600.0);
    errors.check_range("fleet.zones.hold_most_s", zones.hold_most_s, 1.0, 86_400.0);
    errors.check_range("fleet.zones.calm_s", zones.calm_s, 1.0, 86_400.0);
    errors.check_range("fleet.zones.term_s", zones.term_s, 1.0, 60.0);
    errors.check_range("fleet.zones.own_after_s", zones.own_after_s, 1.0, 3600.0);
}

fn validate_ejection(ejection: &Ejection, errors: &mut ErrorCollector) {
    let witnesses_key = "fleet.ejection.witnesses";
    match ejection.witnesses {
        None => errors.add_missing(witnesses_key, "2 to 1000"),
        witnesses => errors.check_range(witnesses_key, witnesses, 2.0, 1000.0),
    }
    errors.check_range("fleet.ejection.out_s", ejection.out_s, 1.0, 3600.0);
    errors.check_range("fleet.ejection.part", ejection.part, 0.1, 1.0);
    errors.check_range("fleet.ejection.ends", ejection.ends, 3.0, 1000.0);
}
