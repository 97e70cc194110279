//! The slots of the engine table.

use super::engine_in_state;
use crate::events::EndpointState;
use crate::model::{Engine, EngineIndex, EngineTable};

fn engine(engine_id: u64, state: EndpointState) -> Engine {
    engine_in_state(engine_id, None, state)
}

#[test]
fn slot_of_a_gone_engine_is_reusable_unless_it_is_in_use() {
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
fn engine_missing_from_a_complete_list_is_not_ready() {
    let mut engines = EngineTable::default();
    engines.push(engine(1, EndpointState::Ready));
    engines.begin_snapshot();
    engines.finish_update();
    assert_eq!(engines.ready().count(), 0);
}
