//! Simulation of a detector with its zones and engines in virtual time.

use tansymux_zone_routing::{
    Config, Engine, Event, Observation, ObservationKind, Reason, RecoveryRamp, Route, RoutingPlan,
    SpillLimit, Tier, UnreachabilityThresholds, ZoneChange, ZoneHealthDetector,
};

/// Interval between evaluations (ms).
pub const EVALUATION_INTERVAL_MS: f64 = 100.0;

pub fn config() -> Config {
    let tiers = |names: &[&str]| {
        names
            .iter()
            .map(|name| Tier {
                zones: vec![name.to_string()],
            })
            .collect()
    };
    Config {
        routes: vec![
            Route {
                class: None,
                from: Some("east".into()),
                tiers: tiers(&["east", "west", "south"]),
            },
            Route {
                class: None,
                from: Some("west".into()),
                tiers: tiers(&["west", "east", "south"]),
            },
        ],
        spill_limits: vec![
            SpillLimit {
                into: None,
                class: None,
                max_threads_per_core: 0.4,
            },
            SpillLimit {
                into: None,
                class: Some("report".into()),
                max_threads_per_core: 0.1,
            },
        ],
        unreachability_thresholds: UnreachabilityThresholds::default(),
        recovery_ramp: RecoveryRamp {
            initial_fraction: 0.1,
            duration_ms: 10_000.0,
            full_threads_per_core: 2.0,
        },
        cross_zone_retry_ratio: 0.5,
    }
}

/// A detector in zone east, and zones with their numbers of engines.
pub struct Simulation {
    pub detector: ZoneHealthDetector,
    pub zones: Vec<(&'static str, usize)>,
    pub now_ms: f64,
}

pub fn engine_id(zone: usize, engine: usize) -> u64 {
    (zone * 100 + engine) as u64
}

impl Simulation {
    pub fn new(zones: &[(&'static str, usize)], dispatchers: f64) -> Self {
        let mut simulation = Simulation {
            detector: ZoneHealthDetector::new(config(), dispatchers),
            zones: zones.to_vec(),
            now_ms: 0.0,
        };
        simulation.list_engines(|_, _| true);
        simulation
    }

    pub fn engines(&self, ready: impl Fn(usize, usize) -> bool) -> Vec<Engine> {
        let engines_of_zone = |(zone, (name, engine_count)): (usize, &(&'static str, usize))| {
            let engine = |n| Engine {
                engine_id: engine_id(zone, n),
                zone: name.to_string(),
                cores: 8.0,
                is_ready: ready(zone, n),
            };
            (0..*engine_count).map(engine).collect::<Vec<_>>()
        };
        self.zones
            .iter()
            .enumerate()
            .flat_map(engines_of_zone)
            .collect()
    }

    pub fn list_engines(&mut self, ready: impl Fn(usize, usize) -> bool) {
        let engines = self.engines(ready);
        self.detector
            .handle(Event::EnginesListed(&engines), self.now_ms);
    }

    /// Advances virtual time by `duration_ms`. Before each evaluation, `answers(zone, engine, now_ms)` determines
    /// whether an engine answers an attempt; `None` means no attempt. Returns the resulting changes.
    pub fn run(
        &mut self,
        duration_ms: f64,
        answers: impl Fn(usize, usize, f64) -> Option<bool>,
    ) -> Vec<ZoneChange> {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += EVALUATION_INTERVAL_MS;
            for zone in 0..self.zones.len() {
                for engine in 0..self.zones[zone].1 {
                    if let Some(answered) = answers(zone, engine, self.now_ms) {
                        let kind = if answered {
                            ObservationKind::Answered
                        } else {
                            ObservationKind::NoAnswer
                        };
                        let observation = Observation {
                            engine_id: engine_id(zone, engine),
                            kind,
                        };
                        self.detector
                            .handle(Event::EngineObserved(observation), self.now_ms);
                    }
                }
            }
            self.detector.evaluate(self.now_ms);
        }
        self.detector.take_changes()
    }

    pub fn plan(&self) -> RoutingPlan {
        self.detector
            .routing_plan("east", &["look".into(), "report".into()])
    }

    /// Returns the total of the engines' thread limits in a zone.
    pub fn threads(&self, zone: usize) -> f64 {
        self.plan()
            .engines
            .iter()
            .filter(|engine| engine.engine_id / 100 == zone as u64)
            .map(|engine| engine.threads)
            .sum()
    }
}

pub fn reasons(changes: &[ZoneChange]) -> Vec<(String, Reason)> {
    changes
        .iter()
        .map(|change| (change.zone.clone(), change.reason))
        .collect()
}

pub const TWO_ZONES: &[(&str, usize)] = &[("east", 4), ("west", 4)];
