//! Derivation of the routing plan from the states of zones.

use super::{EngineRecord, ZoneHealthDetector, ZoneRecord};
use crate::model::ZoneState;
use crate::routing_plan::{EnginePlan, RoutingPlan, ZonePlan};

impl ZoneHealthDetector {
    /// Returns the plan for a dispatcher in zone `from`, with ranks and limits for the given classes (resource groups).
    pub fn routing_plan(&self, from: &str, classes: &[String]) -> RoutingPlan {
        let zones = self.zones.iter().enumerate();
        let engines = self.engines.iter();
        RoutingPlan {
            zones: zones
                .map(|(index, zone)| self.zone_plan(index, zone, from, classes))
                .collect(),
            engines: engines
                .map(|(engine_id, engine)| self.engine_plan(*engine_id, engine))
                .collect(),
            is_isolated: self.is_isolated,
            cross_zone_retry_ratio: self.config.cross_zone_retry_ratio,
        }
    }

    /// Returns this dispatcher's share of a zone, as a fraction. All dispatchers have equal shares; their number is the
    /// configured number, or the number of known peers plus one if that is greater.
    fn dispatcher_share(&self) -> f64 {
        1.0 / self.dispatchers.max(self.peers.len() as f64 + 1.0)
    }

    fn zone_plan(
        &self,
        index: usize,
        zone: &ZoneRecord,
        from: &str,
        classes: &[String],
    ) -> ZonePlan {
        let share = self.dispatcher_share();
        let cores: f64 = self.ready_engines(index).map(|engine| engine.cores).sum();
        let spill_threads =
            |class: Option<&str>| self.config.spill_limit(&zone.name, class) * cores * share;
        ZonePlan {
            name: zone.name.clone(),
            state: zone.state,
            ranks: classes
                .iter()
                .map(|class| self.config.rank(class, from, &zone.name))
                .collect(),
            spill_threads: spill_threads(None),
            spill_threads_by_class: classes
                .iter()
                .map(|class| spill_threads(Some(class)))
                .collect(),
        }
    }

    fn engine_plan(&self, engine_id: u64, engine: &EngineRecord) -> EnginePlan {
        let full_threads = engine.cores
            * self.config.recovery_ramp.full_threads_per_core
            * self.dispatcher_share();
        let threads = match self.zones[engine.zone].state {
            ZoneState::Healthy => f64::INFINITY,
            ZoneState::Recovering(fraction) => fraction * full_threads,
            ZoneState::Unreachable => 0.0,
        };
        EnginePlan { engine_id, threads }
    }
}
