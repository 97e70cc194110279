//! Peer load: reports of low threads, their sums, and shares of the engines.

use super::*;

const PEERS: &str = "balancers=4 limits.peers=1 me=";

#[test]
fn dispatchers_report_low_threads_to_two_aggregators_which_broadcast_the_sum() {
    let mut aggregator = dispatcher(&format!("{PEERS}0"), TWO_ENGINES);
    let mut other = dispatcher(&format!("{PEERS}3"), TWO_ENGINES);
    let decisions = send_query(&mut other, 100.0, 1, "rep", 100.0);
    let slot = other
        .engines
        .iter()
        .position(|engine| engine.load.low_attempts() == 1)
        .unwrap();
    assert_eq!(
        decisions
            .iter()
            .filter(|decision| decision.starts_with("tell Some"))
            .count(),
        2,
        "one report to each aggregator: {decisions:?}"
    );
    let engine_tag = peer_codec::engine_tag(slot as u64 + 1);
    let report = [peer_codec::OWN_LOAD, engine_tag[0], engine_tag[1], 2];
    let aggregator_decisions = run_round(&mut aggregator, 2_000.0, |control, _| {
        control.on_peer_message(&PeerMessage {
            peer: 3,
            content: &report,
        })
    });
    assert!(
        has_decision(&aggregator_decisions, "tell None [1, ")
            && aggregator.engines[EngineIndex(slot)].load.peer_threads() == 2.0,
        "{aggregator_decisions:?}"
    );
    run_round(&mut aggregator, 14_000.0, |_, _| ());
    assert_eq!(
        aggregator.engines[EngineIndex(slot)].load.peer_threads(),
        0.0,
        "the report of a dispatcher that stopped has expired"
    );
}

#[test]
fn peers_threads_count_while_they_are_reported_and_malformed_messages_change_nothing() {
    let mut control = dispatcher(&format!("{PEERS}3"), ONE_ENGINE);
    let engine_tag = peer_codec::engine_tag(1);
    let sum = [peer_codec::TOTAL_LOAD, engine_tag[0], engine_tag[1], 20];
    run_round(&mut control, 10.0, |control, _| {
        control.on_peer_message(&PeerMessage {
            peer: 0,
            content: &sum,
        })
    });
    assert!(
        has_decision(&send_query(&mut control, 20.0, 1, "rep", 100.0), "reject"),
        "the other dispatchers' threads use up the engine's limit"
    );
    run_round(&mut control, 30.0, |control, _| {
        control.on_peer_message(&PeerMessage {
            peer: 0,
            content: &[peer_codec::TOTAL_LOAD, engine_tag[0], engine_tag[1], 2],
        })
    });
    assert!(has_decision(
        &send_query(&mut control, 40.0, 2, "rep", 100.0),
        "submit"
    ));
    run_round(&mut control, 50.0, |control, _| {
        control.on_peer_message(&PeerMessage {
            peer: 0,
            content: &[9],
        });
        control.on_peer_message(&PeerMessage {
            peer: u32::MAX,
            content: &[peer_codec::OWN_LOAD, engine_tag[0], engine_tag[1], 9],
        });
    });
    assert_eq!(
        control.engines[EngineIndex(0)].load.peer_threads(),
        2.0,
        "a message of an unknown kind or from an unknown dispatcher changes nothing"
    );
}
