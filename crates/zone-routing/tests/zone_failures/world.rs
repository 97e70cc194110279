//! A detector, its zones and engines in virtual time.

use tansymux_zone_routing::{
    Config, CutDetection, Engine, Event, Observation, ObservationKind, Reason, RecoveryRamp, Route,
    RoutingPlan, SpillLimit, Tier, ZoneChange, ZoneHealthDetector,
};

/// Interval of evaluations (ms).
pub const EVALUATION_MS: f64 = 100.0;

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
        cut_detection: CutDetection::default(),
        recovery_ramp: RecoveryRamp {
            initial_fraction: 0.1,
            duration_ms: 10_000.0,
            full_threads_per_core: 2.0,
        },
        cross_zone_retry_fraction: 0.5,
    }
}

/// A detector and zones, each with a number of engines.
pub struct World {
    pub detector: ZoneHealthDetector,
    pub zones: Vec<(&'static str, usize)>,
    pub now: f64,
}

pub fn engine_id(zone: usize, engine: usize) -> u64 {
    (zone * 100 + engine) as u64
}

impl World {
    pub fn new(zones: &[(&'static str, usize)], dispatchers: f64) -> Self {
        let mut world = World {
            detector: ZoneHealthDetector::new(config(), dispatchers),
            zones: zones.to_vec(),
            now: 0.0,
        };
        world.list(|_, _| true);
        world
    }

    pub fn engines(&self, ready: impl Fn(usize, usize) -> bool) -> Vec<Engine> {
        let of = |(zone, (name, many)): (usize, &(&'static str, usize))| {
            let engine = |n| Engine {
                engine_id: engine_id(zone, n),
                zone: name.to_string(),
                cores: 8.0,
                ready: ready(zone, n),
            };
            (0..*many).map(engine).collect::<Vec<_>>()
        };
        self.zones.iter().enumerate().flat_map(of).collect()
    }

    pub fn list(&mut self, ready: impl Fn(usize, usize) -> bool) {
        let engines = self.engines(ready);
        self.detector
            .handle(Event::EnginesListed(&engines), self.now);
    }

    /// Runs for `lasts` (ms) with each engine tried before every evaluation; `answers` says whether it answers (none: it is
    /// not tried). Returns what changed.
    pub fn run(
        &mut self,
        lasts: f64,
        answers: impl Fn(usize, usize, f64) -> Option<bool>,
    ) -> Vec<ZoneChange> {
        let end = self.now + lasts;
        while self.now < end {
            self.now += EVALUATION_MS;
            for zone in 0..self.zones.len() {
                for engine in 0..self.zones[zone].1 {
                    if let Some(answered) = answers(zone, engine, self.now) {
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
                            .handle(Event::EngineObserved(observation), self.now);
                    }
                }
            }
            self.detector.evaluate(self.now);
        }
        self.detector.take_changes()
    }

    pub fn plan(&self) -> RoutingPlan {
        self.detector
            .routing_plan("east", &["look".into(), "report".into()])
    }

    pub fn threads(&self, zone: usize) -> f64 {
        self.plan()
            .engines
            .iter()
            .filter(|e| e.engine_id / 100 == zone as u64)
            .map(|e| e.threads)
            .sum()
    }
}

pub fn reasons(changes: &[ZoneChange]) -> Vec<(String, Reason)> {
    changes
        .iter()
        .map(|change| (change.zone.clone(), change.reason))
        .collect()
}

pub const TWO: &[(&str, usize)] = &[("east", 4), ("west", 4)];
