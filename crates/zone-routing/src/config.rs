//! Configuration of zone routing: routes, limits and thresholds.

mod validation;

pub use validation::ConfigError;

/// Maximum rank of a zone.
const MAX_RANK: usize = 254;

/// Zones with equal preference.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tier {
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// Preference tiers for a class, or for all classes without a more specific route. A route applies to the dispatchers
/// of one zone or of all zones.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Route {
    /// The class (resource group); `None` matches any class.
    pub class: Option<String>,
    /// The zone of the dispatchers; `None` matches any zone.
    pub from: Option<String>,
    /// The tiers, most preferred first. All zones not named in any tier form an additional last tier.
    pub tiers: Vec<Tier>,
}

/// A limit on the spill into a zone, that is, on the work that dispatchers of other zones run there. It applies to one
/// class, or to all classes together.
#[derive(Debug, Clone, PartialEq)]
pub struct SpillLimit {
    /// The zone that the work spills into; `None` matches any zone.
    pub into: Option<String>,
    /// The class (resource group); `None` means the total of all classes.
    pub class: Option<String>,
    /// Maximum number of threads per core of the zone, for all dispatchers together.
    pub max_threads_per_core: f64,
}

/// The thresholds for declaring a zone unreachable: enough of its engines fail, and none has answered for `silent_ms`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnreachabilityThresholds {
    /// Minimum time without an answer of any engine of the zone, from its first missing answer (ms).
    pub silent_ms: f64,
    /// Minimum fraction of the recently tried engines that must be failing.
    pub failing_fraction: f64,
}

impl Default for UnreachabilityThresholds {
    fn default() -> Self {
        UnreachabilityThresholds {
            silent_ms: 1200.0,
            failing_fraction: 0.75,
        }
    }
}

/// The recovery ramp: how a zone that answers again returns to full use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryRamp {
    /// Fraction of full use that is allowed at the start of the ramp.
    pub initial_fraction: f64,
    /// Duration of the ramp if no answers are missing (ms).
    pub duration_ms: f64,
    /// Threads per core at full use, for all dispatchers together.
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

/// The configuration of zone routing.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Preferences by class and dispatcher zone.
    pub routes: Vec<Route>,
    /// Limits on spill between zones.
    pub spill_limits: Vec<SpillLimit>,
    /// The thresholds for declaring a zone unreachable.
    pub unreachability_thresholds: UnreachabilityThresholds,
    /// The ramp of a recovering zone.
    pub recovery_ramp: RecoveryRamp,
    /// Number of cross-zone retries that each retry within the zone of the previous attempt allows.
    pub cross_zone_retry_ratio: f64,
}

impl Config {
    /// Returns the most specific route for a class and a dispatcher zone. Of equally specific routes, returns the
    /// first.
    pub fn route(&self, class: &str, from: &str) -> Option<&Route> {
        let matches = |route: &&Route| {
            route.class.as_deref().is_none_or(|named| named == class)
                && route.from.as_deref().is_none_or(|named| named == from)
        };
        let specificity = |route: &&Route| (route.class.is_some(), route.from.is_some());
        // `max_by_key` returns the last of equal maxima, hence the reversed order.
        self.routes
            .iter()
            .rev()
            .filter(matches)
            .max_by_key(specificity)
    }

    /// Returns the rank of a zone for a class; 0 is the most preferred. Zones not named in any tier rank after all
    /// tiers. Without a route, the dispatcher's local zone has rank 0 and all other zones have rank 1.
    pub fn rank(&self, class: &str, from: &str, zone: &str) -> u8 {
        match self.route(class, from) {
            Some(route) => {
                let tier = route
                    .tiers
                    .iter()
                    .position(|tier| tier.zones.iter().any(|name| name == zone));
                tier.unwrap_or(route.tiers.len()).min(MAX_RANK) as u8
            }
            None => u8::from(zone != from),
        }
    }

    /// Returns the maximum number of threads per core of a zone for spill from other zones, for a class or for all
    /// classes together (`None`). Returns infinity without a limit. A limit that names the zone overrides a limit for
    /// any zone.
    pub fn spill_limit(&self, zone: &str, class: Option<&str>) -> f64 {
        let matching: Vec<&SpillLimit> = self
            .spill_limits
            .iter()
            .filter(|limit| limit.into.as_deref().is_none_or(|named| named == zone))
            .filter(|limit| limit.class.as_deref() == class)
            .collect();
        let specific = matching.iter().find(|limit| limit.into.is_some());
        match specific.or(matching.first()) {
            Some(limit) => limit.max_threads_per_core,
            None => f64::INFINITY,
        }
    }
}
