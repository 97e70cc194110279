//! Validation of the configuration: rejects routes that are never used, zones in two tiers, and limits that leave a class
//! nowhere to run.

use super::{Config, SpillLimit, Tier};

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {found}; allowed: {allowed}")]
pub struct ConfigError {
    /// The key below `halls` in the operators' file.
    pub key: String,
    /// The value found.
    pub found: String,
    /// The values allowed.
    pub allowed: &'static str,
}

impl Config {
    /// All errors of the configuration; empty if it is valid.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = ErrorList(Vec::new());
        for index in 0..self.routes.len() {
            self.validate_route(index, &mut errors);
        }
        for index in 0..self.spill_limits.len() {
            self.validate_spill_limit(index, &mut errors);
        }
        errors.0
    }

    fn validate_route(&self, index: usize, errors: &mut ErrorList) {
        let route = &self.routes[index];
        let is_repeated = self.routes[..index]
            .iter()
            .any(|earlier| earlier.class == route.class && earlier.from == route.from);
        if is_repeated {
            errors.add(
                format!("route.{index}"),
                "the same class and hall a second time".into(),
                "a route that can be reached",
            );
        }
        if route.tiers.is_empty() {
            errors.add(
                format!("route.{index}.tier"),
                "missing".into(),
                "one tier at the least",
            );
        }
        validate_tiers(index, &route.tiers, errors);
    }

    fn validate_spill_limit(&self, index: usize, errors: &mut ErrorList) {
        let limit = &self.spill_limits[index];
        let is_repeated = self.spill_limits[..index]
            .iter()
            .any(|earlier| earlier.into == limit.into && earlier.class == limit.class);
        if is_repeated {
            errors.add(
                format!("spill.{index}"),
                "the same hall and class a second time".into(),
                "one limit for each",
            );
        }
        self.validate_spill_of_class(index, limit, errors);
    }

    /// Rejects a limit of 0 for a class whose route has a further tier: the limit would leave that tier unused.
    fn validate_spill_of_class(&self, index: usize, limit: &SpillLimit, errors: &mut ErrorList) {
        let Some(class) = &limit.class else {
            return;
        };
        let route = self
            .routes
            .iter()
            .position(|route| route.class.as_ref() == Some(class) && route.tiers.len() > 1);
        if let (true, Some(route)) = (limit.max_threads_per_core <= 0.0, route) {
            errors.add(
                format!("spill.{index}.most"),
                format!("0 for a class that route {route} sends there"),
                "more than 0, or no further tier: the limit can't carry the class at all",
            );
        }
    }
}

/// Rejects tiers without zones, and zones in two tiers of a route.
fn validate_tiers(route: usize, tiers: &[Tier], errors: &mut ErrorList) {
    let mut seen: Vec<&str> = Vec::new();
    for (tier_index, tier) in tiers.iter().enumerate() {
        let key = format!("route.{route}.tier.{tier_index}.hall");
        if tier.zones.is_empty() {
            errors.add(key.clone(), "missing".into(), "one hall at the least");
        }
        for (zone_index, zone) in tier.zones.iter().enumerate() {
            if seen.contains(&zone.as_str()) {
                errors.add(
                    format!("{key}.{zone_index}"),
                    format!("{zone:?} a second time"),
                    "each hall in one tier: the later one is never reached",
                );
            }
            seen.push(zone);
        }
    }
}

/// The errors found so far.
struct ErrorList(Vec<ConfigError>);

impl ErrorList {
    fn add(&mut self, key: String, found: String, allowed: &'static str) {
        self.0.push(ConfigError {
            key,
            found,
            allowed,
        });
    }
}
