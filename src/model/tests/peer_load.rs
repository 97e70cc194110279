//! The exchange of low-lane threads between dispatchers.

use super::{listed_engine, START_MS};
use crate::events::PeerMessage;
use crate::model::{EngineTable, PeerLoad};
use crate::peer_codec;
use crate::settings::{Capabilities, Settings};

/// The exchange as seen by one of four dispatchers.
fn peer_load(dispatcher_index: u32) -> PeerLoad {
    PeerLoad::new(&Settings {
        dispatchers: 4.0,
        dispatcher_index,
        capabilities: Capabilities {
            peer_messages: true,
            ..Capabilities::default()
        },
        ..Settings::default()
    })
}

#[test]
fn share_is_even_unless_a_recent_sum_is_known() {
    let mut peer_load = peer_load(3);
    let mut engines = EngineTable::default();
    let engine = engines.push(listed_engine(1, None));
    assert_eq!(peer_load.pool_share(START_MS), 0.25);
    let [first, second] = peer_codec::engine_tag(1);
    let sum = PeerMessage {
        peer: 0,
        content: &[peer_codec::TOTAL_LOAD, first, second, 5],
    };
    peer_load.record_message(&sum, &mut engines, START_MS);
    assert_eq!(engines[engine].load.peer_threads(), 5.0);
    assert_eq!(peer_load.pool_share(START_MS + 1999.0), 1.0);
    assert_eq!(peer_load.pool_share(START_MS + 2000.0), 0.25);
}

#[test]
fn aggregator_ignores_sums_from_other_aggregators() {
    let mut peer_load = peer_load(0);
    let sum = PeerMessage {
        peer: 1,
        content: &[peer_codec::TOTAL_LOAD],
    };
    peer_load.record_message(&sum, &mut EngineTable::default(), START_MS);
    assert_eq!(peer_load.pool_share(START_MS), 0.25);
}
