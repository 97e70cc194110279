//! Peer load: reports, sums and shares.

use super::*;

const PEERS: &str = "balancers=4 limits.peers=1 me=";

#[test]
fn dispatchers_report_low_threads_and_two_aggregators_send_all_the_sum() {
    let mut aggregator = dispatcher(&format!("{PEERS}0"), TWO);
    let mut other = dispatcher(&format!("{PEERS}3"), TWO);
    let decided = send_query(&mut other, 100.0, 1, "rep", 100.0);
    let slot = other
        .engines
        .iter()
        .position(|slot| slot.load.low_attempts() == 1)
        .unwrap();
    assert_eq!(
        decided
            .iter()
            .filter(|decision| decision.starts_with("tell Some"))
            .count(),
        2,
        "to each aggregator: {decided:?}"
    );
    let tag = peer_codec::engine_tag(slot as u64 + 1);
    let report = [peer_codec::OWN_LOAD, tag[0], tag[1], 2];
    let sums = round(&mut aggregator, 2_000.0, |control, _| {
        control.on_peer_message(&PeerMessage {
            peer: 3,
            content: &report,
        })
    });
    assert!(
        has_decision(&sums, "tell None [1, ")
            && aggregator.engines[EngineIndex(slot)].load.peer_threads() == 2.0,
        "{sums:?}"
    );
    round(&mut aggregator, 14_000.0, |_, _| ());
    assert_eq!(
        aggregator.engines[EngineIndex(slot)].load.peer_threads(),
        0.0,
        "a dispatcher that died is forgotten"
    );
}

#[test]
fn peers_threads_count_while_they_are_reported_and_the_even_share_holds_otherwise() {
    let mut control = dispatcher(&format!("{PEERS}3"), ONE);
    let tag = peer_codec::engine_tag(1);
    let sum = [peer_codec::TOTAL_LOAD, tag[0], tag[1], 20];
    round(&mut control, 10.0, |control, _| {
        control.on_peer_message(&PeerMessage {
            peer: 0,
            content: &sum,
        })
    });
    assert!(
        has_decision(&send_query(&mut control, 20.0, 1, "rep", 100.0), "reject"),
        "the engine is full of other dispatchers' work"
    );
    round(&mut control, 30.0, |control, _| {
        control.on_peer_message(&PeerMessage {
            peer: 0,
            content: &[peer_codec::TOTAL_LOAD, tag[0], tag[1], 2],
        })
    });
    assert!(has_decision(
        &send_query(&mut control, 40.0, 2, "rep", 100.0),
        "submit"
    ));
    round(&mut control, 50.0, |control, _| {
        control.on_peer_message(&PeerMessage {
            peer: 0,
            content: &[9],
        });
        control.on_peer_message(&PeerMessage {
            peer: u32::MAX,
            content: &[peer_codec::OWN_LOAD, tag[0], tag[1], 9],
        });
    });
    assert_eq!(
        control.engines[EngineIndex(0)].load.peer_threads(),
        2.0,
        "unknown kinds and numbers of dispatchers change nothing"
    );
}
