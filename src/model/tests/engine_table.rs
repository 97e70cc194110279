//! Slots of the engine table.

use crate::events::{EndpointState, EndpointUpdate};
use crate::interner::Interner;
use crate::model::{Engine, EngineIndex, EngineTable};
use crate::settings::Settings;

fn engine(engine_id: u64, state: EndpointState) -> Engine {
    let update = EndpointUpdate {
        engine_id,
        kind: "small",
        zone: "z1",
        state,
        started_ms: None,
        cell: 0,
    };
    let mut engine = Engine::new(&update, &Settings::default(), &mut Interner::default());
    engine.apply_update(&update);
    engine
}

#[test]
fn slot_of_an_engine_that_is_gone_is_unused_unless_it_is_in_use() {
    let mut engines = EngineTable::default();
    engines.push(engine(1, EndpointState::Ready));
    let gone = engines.push(engine(2, EndpointState::Gone));
    assert_eq!(engines.find_unused(|_| false), Some(gone));
    assert_eq!(engines.find_unused(|slot| slot == gone), None);
}

#[test]
fn replaced_engine_is_no_longer_found() {
    let mut engines = EngineTable::default();
    let slot = engines.push(engine(1, EndpointState::Gone));
    engines.replace(slot, engine(2, EndpointState::Ready));
    assert_eq!(engines.find(1), None);
    assert_eq!(engines.find(2), Some(EngineIndex(0)));
    assert_eq!(engines.len(), 1);
}

#[test]
fn engine_missing_in_a_complete_list_is_not_ready() {
    let mut engines = EngineTable::default();
    engines.push(engine(1, EndpointState::Ready));
    engines.begin_snapshot();
    engines.finish_update();
    assert_eq!(engines.ready().count(), 0);
}
