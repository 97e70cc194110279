//! Halls as the file tells them, as the decisions take them.

use crate::check::Faults;
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

pub(crate) fn check(told: &schema::Halls, faults: &mut Faults) {
    faults.within("halls.cross_retries", told.cross_retries, 0.0, 1.0);
    for (n, spill) in told.spill.iter().enumerate() {
        let key = format!("halls.spill.{n}.most");
        match spill.most {
            None => faults.add(&key, "missing", "0 to 4"),
            most => faults.within(&key, most, 0.0, 4.0),
        }
    }
    if let Some(cut) = &told.cut {
        faults.within("halls.cut.quiet_s", cut.quiet_s, 0.3, 60.0);
        faults.within("halls.cut.part", cut.part, 0.3, 1.0);
    }
    if let Some(climb) = &told.climb {
        faults.within("halls.climb.first", climb.first, 0.01, 1.0);
        faults.within("halls.climb.over_s", climb.over_s, 1.0, 3600.0);
        faults.within("halls.climb.whole", climb.whole, 0.25, 8.0);
    }
    for fault in zones(told).validate() {
        faults.add(&format!("halls.{}", fault.key), fault.found, fault.allowed);
    }
}
