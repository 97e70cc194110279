//! Routes, limits and thresholds that operators configure, and which of them cannot work.

/// Zones that a class prefers equally.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tier {
    /// Their names.
    pub zones: Vec<String>,
}

/// Tiers of preference of a class, or of all classes without a route of their own; for dispatchers of one zone, or of
/// any.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Route {
    /// The class (resource group); `None`: any.
    pub class: Option<String>,
    /// The dispatchers' zone; `None`: any.
    pub from: Option<String>,
    /// Most preferred first. Zones in no tier come last, together.
    pub tiers: Vec<Tier>,
}

/// How much work of other zones a zone takes, for all classes together or for one.
#[derive(Debug, Clone, PartialEq)]
pub struct SpillLimit {
    /// The zone that takes it; `None`: any.
    pub into: Option<String>,
    /// The class (resource group); `None`: all classes together.
    pub class: Option<String>,
    /// Threads for each of the zone's cores.
    pub max_threads_per_core: f64,
}

/// When a zone counts as unreachable: enough of its engines fail, and none answered for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CutDetection {
    /// How long no engine of the zone answered (ms).
    pub silent_ms: f64,
    /// Fraction of the engines tried lately that must fail.
    pub failing_fraction: f64,
}

impl Default for CutDetection {
    fn default() -> Self {
        CutDetection {
            silent_ms: 1200.0,
            failing_fraction: 0.75,
        }
    }
}

/// How a zone that answers again is filled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryRamp {
    /// Fraction of full use that it begins with.
    pub initial_fraction: f64,
    /// How long it takes while all answers are good (ms).
    pub duration_ms: f64,
    /// Threads per core at full use.
    pub full_threads_per_core: f64,
}

impl Default for RecoveryRamp {
    fn default() -> Self {
        RecoveryRamp {
            initial_fraction: 0.1,
            duration_ms: 20_000.0,
            full_threads_per_core: 2.0,
        }
    }
}

/// What operators configure.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Preferences by class and zone.
    pub routes: Vec<Route>,
    /// Limits on work from other zones.
    pub spill_limits: Vec<SpillLimit>,
    /// When a zone counts as unreachable.
    pub cut_detection: CutDetection,
    /// How a zone is filled again.
    pub recovery_ramp: RecoveryRamp,
    /// Fraction of the retries that may go to another zone than the attempt before.
    pub cross_zone_retry_fraction: f64,
}

/// A setting that cannot work.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {found}; allowed: {allowed}")]
pub struct ConfigError {
    /// The key below `halls` in the operators' file.
    pub key: String,
    /// What was there.
    pub found: String,
    /// What is allowed.
    pub allowed: &'static str,
}

impl Config {
    /// The most specific route that fits a class and the dispatcher's zone; of equally specific ones the first.
    pub fn route(&self, class: &str, from: &str) -> Option<&Route> {
        let fits = |route: &&Route| {
            route.class.as_deref().is_none_or(|named| named == class)
                && route.from.as_deref().is_none_or(|named| named == from)
        };
        let specificity = |route: &&Route| (route.class.is_some(), route.from.is_some());
        // `max_by_key` returns the last of equal ones.
        self.routes
            .iter()
            .rev()
            .filter(fits)
            .max_by_key(specificity)
    }

    /// The rank of a zone for a class: 0 is preferred; zones in no tier come after all that are. Without a route the
    /// dispatcher's own zone has rank 0 and all others have rank 1.
    pub fn rank(&self, class: &str, from: &str, zone: &str) -> u8 {
        match self.route(class, from) {
            Some(route) => {
                let tier = route
                    .tiers
                    .iter()
                    .position(|tier| tier.zones.iter().any(|name| name == zone));
                tier.unwrap_or(route.tiers.len()).min(254) as u8
            }
            None => u8::from(zone != from),
        }
    }

    /// Threads for each of a zone's cores that a class (`None`: all together) of other zones may take there; infinite
    /// without a limit. A limit that names the zone precedes one for any zone.
    pub fn spill_limit(&self, zone: &str, class: Option<&str>) -> f64 {
        let fitting: Vec<&SpillLimit> = self
            .spill_limits
            .iter()
            .filter(|limit| limit.into.as_deref().is_none_or(|named| named == zone))
            .filter(|limit| limit.class.as_deref() == class)
            .collect();
        let specific = fitting.iter().find(|limit| limit.into.is_some());
        match specific.or(fitting.first()) {
            Some(limit) => limit.max_threads_per_core,
            None => f64::INFINITY,
        }
    }

    /// All settings that cannot work: zones in two tiers, routes that are never used, limits that let nothing through.
    /// Empty for a valid configuration.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        for index in 0..self.routes.len() {
            self.validate_route(index, &mut errors);
        }
        for index in 0..self.spill_limits.len() {
            self.validate_spill_limit(index, &mut errors);
        }
        errors
    }

    fn validate_route(&self, index: usize, errors: &mut Vec<ConfigError>) {
        let route = &self.routes[index];
        let mut add = |key: String, found: String, allowed: &'static str| {
            errors.push(ConfigError {
                key,
                found,
                allowed,
            });
        };
        let is_repeated = self.routes[..index]
            .iter()
            .any(|earlier| earlier.class == route.class && earlier.from == route.from);
        if is_repeated {
            add(
                format!("route.{index}"),
                "the same class and hall a second time".into(),
                "a route that can be reached",
            );
        }
        if route.tiers.is_empty() {
            add(
                format!("route.{index}.tier"),
                "missing".into(),
                "one tier at the least",
            );
        }
        let mut seen: Vec<&str> = Vec::new();
        for (tier_index, tier) in route.tiers.iter().enumerate() {
            let key = format!("route.{index}.tier.{tier_index}.hall");
            if tier.zones.is_empty() {
                add(key.clone(), "missing".into(), "one hall at the least");
            }
            for (zone_index, zone) in tier.zones.iter().enumerate() {
                if seen.contains(&zone.as_str()) {
                    add(
                        format!("{key}.{zone_index}"),
                        format!("{zone:?} a second time"),
                        "each hall in one tier: the later one is never reached",
                    );
                }
                seen.push(zone);
            }
        }
    }

    fn validate_spill_limit(&self, index: usize, errors: &mut Vec<ConfigError>) {
        let limit = &self.spill_limits[index];
        let is_repeated = self.spill_limits[..index]
            .iter()
            .any(|earlier| earlier.into == limit.into && earlier.class == limit.class);
        if is_repeated {
            errors.push(ConfigError {
                key: format!("spill.{index}"),
                found: "the same hall and class a second time".into(),
                allowed: "one limit for each",
            });
        }
        // A limit of nothing for a class that a route sends on leaves its work nowhere to go.
        let Some(class) = &limit.class else {
            return;
        };
        let route = self
            .routes
            .iter()
            .position(|route| route.class.as_ref() == Some(class) && route.tiers.len() > 1);
        if let (true, Some(route)) = (limit.max_threads_per_core <= 0.0, route) {
            errors.push(ConfigError {
                key: format!("spill.{index}.most"),
                found: format!("0 for a class that route {route} sends there"),
                allowed: "more than 0, or no further tier: the limit can't carry the class at all",
            });
        }
    }
}
