use super::*;
use crate::engine::channel::{Channel, EngineProcess};
use crate::ids::ConnectionId;
use crate::query_registry::{EndpointEntry, QueryRegistry};
use tansymux::events::EndpointState;

const REUSE: IdleReuse = IdleReuse {
    idle_ms: 1000.0,
    sent_ms: 500.0,
};

/// A detector for engine 1 in zone `east`, engine 2 in zone `east` and engine 3 in zone `west`, each with one idle
/// connection.
struct Fixture {
    registry: Rc<QueryRegistry>,
    engines: Rc<EngineTable>,
    detector: SilenceDetector,
    clock: Clock,
}

impl Fixture {
    fn new() -> Self {
        let registry = Rc::new(QueryRegistry::default());
        let clock = Clock::start();
        let engines = Rc::new(EngineTable::default());
        for (engine_id, zone) in [(1, "east"), (2, "east"), (3, "west")] {
            add_engine(&engines, engine_id, zone);
        }
        let reuse_tracker = Rc::new(ReuseTracker::new(registry.clone(), clock));
        Fixture {
            registry,
            detector: SilenceDetector::new(engines.clone(), reuse_tracker, clock),
            engines,
            clock,
        }
    }

    fn lost_connection_count(&self) -> u64 {
        self.registry.counters.idle_connections_lost.get()
    }

    /// Whether the idle connections of engines 1, 2 and 3 are retired.
    fn retired(&self) -> [bool; 3] {
        [1, 2, 3].map(|engine_id| {
            let is_retired = self.engines.with(engine_id, |engine| {
                engine.channels()[0].connection.borrow().is_retired()
            });
            is_retired.unwrap()
        })
    }
}

fn add_engine(engines: &EngineTable, engine_id: u64, zone: &str) {
    engines.upsert(&EndpointEntry {
        engine_id,
        address: None,
        kind: "std".into(),
        zone: zone.into(),
        cell: 0,
        state: EndpointState::Ready,
        started_ms: None,
    });
    let process = EngineProcess {
        address: None,
        started_ms: None,
    };
    let channel = Channel::new(ConnectionId(engine_id), engine_id, process, 0.0);
    channel.connection.borrow_mut().on_connected(0.0);
    engines.with_mut(engine_id, |engine| engine.add_channel(Rc::new(channel)));
}

#[test]
fn silent_reuse_counts_as_lost_if_its_engine_has_sent_a_frame_since() {
    let fixture = Fixture::new();
    fixture.detector.on_frame(1, REUSE.sent_ms + 1.0);
    fixture.detector.on_silent_reuse(1, REUSE);
    assert_eq!(fixture.lost_connection_count(), 1);
}

#[test]
fn silent_reuse_counts_as_lost_only_if_its_engine_sends_a_frame_within_the_window() {
    for (delay_ms, expected) in [
        (SUSPICION_WINDOW_MS - 100.0, 1),
        (SUSPICION_WINDOW_MS + 100.0, 0),
    ] {
        let fixture = Fixture::new();
        fixture.detector.on_silent_reuse(1, REUSE);
        assert_eq!(fixture.lost_connection_count(), 0);
        let now_ms = fixture.clock.now();
        fixture.detector.on_frame(1, now_ms + delay_ms);
        assert_eq!(fixture.lost_connection_count(), expected, "{delay_ms}");
    }
}

#[test]
fn idle_connections_are_retired_by_engine_or_by_zone() {
    let fixture = Fixture::new();
    fixture.detector.retire_idle(1, SilenceScope::Engine);
    assert_eq!(fixture.retired(), [true, false, false]);
    fixture.detector.retire_idle(1, SilenceScope::Zone);
    assert_eq!(fixture.retired(), [true, true, false]);
}
