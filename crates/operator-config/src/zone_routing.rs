//! Conversion of the block `halls` into the configuration of the zone routing package.

use crate::schema;
use crate::units::MS_PER_S;
use tansymux_zone_routing::{
    Config, RecoveryRamp, Route, SpillLimit, Tier, UnreachabilityThresholds,
};

/// The configuration of zone routing. [`parse`](crate::parse) checks the values, this conversion does not.
pub fn zone_routing_config(halls: &schema::Halls) -> Config {
    let cut = halls.cut.unwrap_or_default();
    let ramp = halls.climb.unwrap_or_default();
    Config {
        routes: halls.route.iter().map(route).collect(),
        spill_limits: halls.spill.iter().map(spill_limit).collect(),
        unreachability_thresholds: UnreachabilityThresholds {
            silent_ms: cut.quiet_s() * MS_PER_S,
            failing_fraction: cut.part(),
        },
        recovery_ramp: RecoveryRamp {
            initial_fraction: ramp.first(),
            duration_ms: ramp.over_s() * MS_PER_S,
            full_threads_per_core: ramp.whole(),
        },
        cross_zone_retry_ratio: halls.cross_retries(),
    }
}

fn route(route: &schema::Route) -> Route {
    Route {
        class: route.class.clone(),
        from: route.from.clone(),
        tiers: route.tier.iter().map(tier).collect(),
    }
}

fn tier(tier: &schema::Tier) -> Tier {
    Tier {
        zones: tier.hall.clone(),
    }
}

fn spill_limit(spill: &schema::Spill) -> SpillLimit {
    SpillLimit {
        into: spill.into.clone(),
        class: spill.class.clone(),
        max_threads_per_core: spill.most.unwrap_or(f64::INFINITY),
    }
}
