//! Pressure, headroom and metrics of the pool.

use super::{engine_in_state, listed_engine, START_MS};
use crate::events::EndpointState;
use crate::model::{
    EngineIndex, EngineTable, LevelEffects, PeerLoad, PoolView, SlowStart, Slowdowns, ZoneFilter,
};
use crate::settings::Settings;

const FIRST: EngineIndex = EngineIndex(0);

/// The components that a pool view reads, with two ready engines of one core and an engine that is gone.
struct Pool {
    engines: EngineTable,
    slowdowns: Slowdowns,
    peer_load: PeerLoad,
    slow_start: SlowStart,
    level: LevelEffects,
}

impl Pool {
    fn new() -> Self {
        let settings = Settings {
            dispatchers: 1.0,
            ..Settings::default()
        };
        let mut engines = EngineTable::default();
        engines.push(listed_engine(1, None));
        engines.push(listed_engine(2, None));
        engines.push(engine_in_state(3, None, EndpointState::Gone));
        let mut slowdowns = Slowdowns::default();
        slowdowns.add_zone(0);
        Pool {
            engines,
            slowdowns,
            peer_load: PeerLoad::new(&settings),
            slow_start: SlowStart::new(&settings),
            level: LevelEffects::default(),
        }
    }

    fn view(&self) -> PoolView<'_> {
        PoolView {
            engines: &self.engines,
            slowdowns: &self.slowdowns,
            peer_load: &self.peer_load,
            slow_start: &self.slow_start,
            level: &self.level,
            now_ms: START_MS,
        }
    }
}

#[test]
fn total_headroom_counts_ready_engines_and_service_level_reduces_headroom() {
    let mut pool = Pool::new();
    assert_eq!(pool.view().total_headroom(), 2.0);
    pool.engines[FIRST].load.set_peer_threads(3.0);
    assert_eq!(pool.view().headroom(FIRST), -2.0);
    assert!(!pool.view().has_spare_capacity(FIRST));
    pool.level.concurrency_factor = 0.5;
    assert_eq!(pool.view().headroom(FIRST), -2.5);
}

#[test]
fn low_lane_threads_at_the_estimated_concurrency_show_pressure() {
    let mut pool = Pool::new();
    pool.engines[FIRST].load.set_peer_threads(1.1);
    assert!(!pool.view().is_under_pressure(FIRST));
    pool.engines[FIRST].load.set_peer_threads(1.2);
    assert!(pool.view().is_under_pressure(FIRST));
    assert_eq!(pool.view().pressured_fraction(None), 0.5);
    let zone = Some(ZoneFilter::Zone(0));
    assert_eq!(pool.view().pressured_fraction(zone), 0.5);
    let unknown = Some(ZoneFilter::Unknown);
    assert!(pool.view().pressured_fraction(unknown).is_nan());
}

#[test]
fn gone_engine_is_excluded_from_all_fractions() {
    let pool = Pool::new();
    assert_eq!(pool.view().ready_fraction(), 1.0);
    assert_eq!(pool.view().ejected_fraction(), 0.0);
    assert_eq!(pool.view().warming_fraction(), 0.0);
}
