//! Halls as the file tells them, as the decisions take them.

use crate::schema;
use tansymux_zone_routing::{Climb, Cut, Definition, Route, Spill, Tier};

/// The definition that the file tells. It may have faults: see `check`.
pub fn zones(told: &schema::Halls) -> Definition {
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
        Spill {
            into,
            class,
            most: told.most.unwrap_or(f64::INFINITY),
        }
    };
    let (cut, climb) = (told.cut.unwrap_or_default(), told.climb.unwrap_or_default());
    Definition {
        routes: told.route.iter().map(route).collect(),
        spills: told.spill.iter().map(spill).collect(),
        cut: Cut {
            quiet_for: cut.quiet_s() * 1000.0,
            part: cut.part(),
        },
        climb: Climb {
            first: climb.first(),
            over: climb.over_s() * 1000.0,
            whole: climb.whole(),
        },
        cross_retries: told.cross_retries(),
    }
}
