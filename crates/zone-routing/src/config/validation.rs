//! Validation of the configuration. Rejects duplicate routes and limits, empty tiers, zones in two tiers, and spill
//! limits that make the tiers of a route unusable.

use super::{Config, SpillLimit, Tier};

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {found}; allowed: {allowed}")]
pub struct ConfigError {
    /// The key below `halls` in the operators' file.
    pub key: String,
    /// The value found, or a description of it.
    pub found: String,
    /// The allowed values.
    pub allowed: &'static str,
}

impl Config {
    /// Returns all errors of the configuration; empty if the configuration is valid.
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
        let is_duplicate = self.routes[..index]
            .iter()
            .any(|earlier| earlier.class == route.class && earlier.from == route.from);
        if is_duplicate {
            errors.add(
                format!("route.{index}"),
                "the same class and hall a second time".into(),
                "one route per class and hall",
            );
        }
        if route.tiers.is_empty() {
            errors.add(
                format!("route.{index}.tier"),
                "missing".into(),
                "at least one tier",
            );
        }
        validate_tiers(index, &route.tiers, errors);
    }

    fn validate_spill_limit(&self, index: usize, errors: &mut ErrorList) {
        let limit = &self.spill_limits[index];
        let is_duplicate = self.spill_limits[..index]
            .iter()
            .any(|earlier| earlier.into == limit.into && earlier.class == limit.class);
        if is_duplicate {
            errors.add(
                format!("spill.{index}"),
                "the same hall and class a second time".into(),
                "one limit per hall and class",
            );
        }
        self.validate_class_spill_limit(index, limit, errors);
    }

    /// Rejects a limit of 0 for a class whose route has more than one tier, because all tiers but the first would be
    /// unusable.
    fn validate_class_spill_limit(&self, index: usize, limit: &SpillLimit, errors: &mut ErrorList) {
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
                format!("0 for a class that route {route} sends to more than one tier"),
                "more than 0, or a route with a single tier: 0 allows no work of the class in other halls",
            );
        }
    }
}

/// Rejects tiers without zones, and zones that occur more than once in a route.
fn validate_tiers(route: usize, tiers: &[Tier], errors: &mut ErrorList) {
    let mut seen: Vec<&str> = Vec::new();
    for (tier_index, tier) in tiers.iter().enumerate() {
        let key = format!("route.{route}.tier.{tier_index}.hall");
        if tier.zones.is_empty() {
            errors.add(key.clone(), "missing".into(), "at least one hall");
        }
        for (zone_index, zone) in tier.zones.iter().enumerate() {
            if seen.contains(&zone.as_str()) {
                errors.add(
                    format!("{key}.{zone_index}"),
                    format!("{zone:?} a second time"),
                    "each hall at most once per route: later occurrences are never used",
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
