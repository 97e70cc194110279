//! Converts the types of zone routing into those of the fleet and of the admission controller.

use tansymux::zone_plan;
use tansymux_operator_config::name_hash;
use tansymux_zone_evacuation::{Evidence, Reachability as FleetReachability};
use tansymux_zone_routing::{Reachability, RoutingPlan, ZoneHealthDetector};

/// Returns the evidence on each zone as the fleet's type. `demand_threads`: threads that this dispatcher requests.
pub(super) fn fleet_evidence(detector: &ZoneHealthDetector, demand_threads: f64) -> Vec<Evidence> {
    let mut evidence = Vec::new();
    for observed in detector.evidence() {
        evidence.push(Evidence {
            zone: name_hash(observed.zone),
            reachability: fleet_reachability(observed.reachability),
            threads: demand_threads as f32,
            successes: observed.successes,
            failures: observed.failures,
        });
    }
    evidence
}

fn fleet_reachability(reachability: Reachability) -> FleetReachability {
    match reachability {
        Reachability::Reachable => FleetReachability::Reachable,
        Reachability::Recovering => FleetReachability::Recovering,
        Reachability::Unreachable => FleetReachability::Unreachable,
        Reachability::Unknown => FleetReachability::Unknown,
    }
}

/// Returns the plan as the admission controller's type.
pub(super) fn controller_plan(plan: &RoutingPlan) -> zone_plan::ZonePlan {
    let mut zones = Vec::new();
    for zone in &plan.zones {
        zones.push(zone_plan::ZoneLimits {
            name: zone.name.clone(),
            tiers: zone.ranks.clone(),
            max_spill_threads: zone.spill_threads,
            max_spill_threads_by_group: zone.spill_threads_by_class.clone(),
        });
    }
    let engines = plan.engines.iter();
    zone_plan::ZonePlan {
        zones,
        engines: engines
            .map(|engine| (engine.engine_id, engine.threads))
            .collect(),
        cross_zone_retry_ratio: plan.cross_zone_retry_ratio,
        isolated: plan.is_isolated,
    }
}
