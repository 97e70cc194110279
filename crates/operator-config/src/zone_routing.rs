//! Halls as the file tells them, as the decisions take them.

use crate::schema;
use tansymux_zone_routing::{Config, CutDetection, RecoveryRamp, Route, SpillLimit, Tier};

/// The definition that the file tells. It may have faults: see `check`.
pub fn zones(told: &schema::Halls) -> Config {
    let tier = |tier: &schema::Tier| Tier {
        zones: tier.hall.clone(),
    };
    let route = |told: &schema::Route| {
        let (class, from) = (told.class.clone(), told.from.clone());
        Route {
            class,
            from,
            tiers: told.tier.iter().map(tier).collect(),
        }
    };
    let spill = |told: &schema::Spill| {
        let (into, class) = (told.into.clone(), told.class.clone());
        SpillLimit {
            into,
            class,
            max_threads_per_core: told.most.unwrap_or(f64::INFINITY),
        }
    };
    let (cut, climb) = (told.cut.unwrap_or_default(), told.climb.unwrap_or_default());
    Config {
        routes: told.route.iter().map(route).collect(),
        spill_limits: told.spill.iter().map(spill).collect(),
        cut_detection: CutDetection {
            silent_ms: cut.quiet_s() * 1000.0,
            failing_fraction: cut.part(),
        },
        recovery_ramp: RecoveryRamp {
            initial_fraction: climb.first(),
            duration_ms: climb.over_s() * 1000.0,
            full_threads_per_core: climb.whole(),
        },
        cross_zone_retry_fraction: told.cross_retries(),
    }
}
