//! The configuration: routes, limits and thresholds.

mod validation;

pub use validation::ConfigError;

/// The highest rank of a zone.
const MAX_RANK: usize = 254;

/// Zones that a class prefers equally.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tier {
    /// The zones' names.
    pub zones: Vec<String>,
}

/// The tiers of preference of a class, or of all classes without a route of their own, for dispatchers of one zone or of
/// any zone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Route {
    /// The class (resource group); `None`: any.
    pub class: Option<String>,
    /// The dispatchers' zone; `None`: any.
    pub from: Option<String>,
    /// The tiers, the most preferred first. Zones in no tier form a last tier.
    pub tiers: Vec<Tier>,
}

/// A limit on work of other zones in a zone, for all classes together or for one class.
#[derive(Debug, Clone, PartialEq)]
pub struct SpillLimit {
    /// The zone that the work runs in; `None`: any.
    pub into: Option<String>,
    /// The class (resource group); `None`: all classes together.
    pub class: Option<String>,
    /// Threads for each of the zone's cores.
    pub max_threads_per_core: f64,
}

/// The condition for an unreachable zone: enough of its engines fail, and none has answered for a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CutDetection {
    /// How long no engine of the zone must have answered (ms).
    pub silent_ms: f64,
    /// Fraction of the recently tried engines that must fail.
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

/// The ramp by which a zone that answers again returns to full use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryRamp {
    /// Fraction of full use at the start of the ramp.
    pub initial_fraction: f64,
    /// Duration of the ramp while no answers are missing (ms).
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

/// The configuration of zone routing.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Preferences by class and zone.
    pub routes: Vec<Route>,
    /// Limits on work from other zones.
    pub spill_limits: Vec<SpillLimit>,
    /// The condition for an unreachable zone.
    pub cut_detection: CutDetection,
    /// The return of a zone to full use.
    pub recovery_ramp: RecoveryRamp,
    /// Fraction of the retries that may go to another zone than the previous attempt.
    pub cross_zone_retry_fraction: f64,
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

    /// The rank of a zone for a class, from 0, the most preferred. Zones in no tier rank after all tiers. Without a route
    /// the dispatcher's own zone has rank 0 and all others have rank 1.
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

    /// Threads for each of a zone's cores that work of other zones may use there, for a class or for all classes together
    /// (`None`); infinite without a limit. A limit that names the zone overrides one for any zone.
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
}
