//! Zones that fail, fail partly, flap, or return with new engine identifiers, in virtual time. One test per case.

mod simulation;

use simulation::{reasons, Simulation, EVALUATION_INTERVAL_MS, TWO_ZONES};
use tansymux_zone_routing::{Engine, Event, Observation, ObservationKind, Reason, ZoneState};

#[test]
fn failing_zone_becomes_unreachable_within_1500_ms_and_gets_no_threads() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    assert_eq!(simulation.run(3000.0, |_, _, _| Some(true)), []);
    let changes = simulation.run(2500.0, |zone, _, _| Some(zone == 1));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Lost)]);
    assert!(changes[0].at_ms <= 3000.0 + 1500.0, "{}", changes[0].at_ms);
    assert_eq!(
        (simulation.threads(0), simulation.threads(1)),
        (0.0, f64::INFINITY)
    );
}

#[test]
fn zone_that_answers_rarely_does_not_become_unreachable() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    // Each engine answers one of nine attempts.
    assert_eq!(
        simulation.run(60_000.0, |zone, n, now| Some(
            zone == 1 || (now as u64 / 100 + n as u64).is_multiple_of(9)
        )),
        []
    );
    assert_eq!(simulation.detector.state("east"), Some(ZoneState::Healthy));
}

#[test]
fn few_failing_engines_do_not_make_a_zone_unreachable() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    assert_eq!(
        simulation.run(20_000.0, |zone, n, _| Some(zone == 1 || n > 0)),
        []
    );
    // Three failing engines are not sufficient evidence if the other seven of the zone were not tried.
    let mut simulation = Simulation::new(&[("east", 10), ("west", 4)], 1.0);
    assert_eq!(
        simulation.run(20_000.0, |zone, n, _| (zone == 1 || n < 3)
            .then_some(zone == 1)),
        []
    );
}

#[test]
fn isolated_dispatcher_declares_no_zone_unreachable() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    let changes = simulation.run(5000.0, |_, _, _| Some(false));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Isolated)]);
    assert!(simulation.detector.is_isolated() && simulation.plan().is_isolated);
    // No zone was marked unreachable, so no recovery ramp begins when the zones answer again.
    let changes = simulation.run(5000.0, |_, _, _| Some(true));
    assert_eq!(
        reasons(&changes),
        [("east".to_owned(), Reason::NotIsolated)]
    );
    assert_eq!(
        (simulation.threads(0), simulation.threads(1)),
        (f64::INFINITY, f64::INFINITY)
    );
}

#[test]
fn remaining_zone_does_not_become_unreachable_when_all_zones_fail() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(4000.0, |zone, _, _| Some(zone == 1));
    let changes = simulation.run(4000.0, |_, _, _| Some(false));
    // With no zone left that answers, the dispatcher considers itself isolated and keeps the second zone healthy.
    assert!(
        reasons(&changes).contains(&("east".to_owned(), Reason::Isolated)),
        "{changes:?}"
    );
    assert_eq!(simulation.detector.state("west"), Some(ZoneState::Healthy));
}

#[test]
fn zone_with_a_single_engine_becomes_unreachable_and_recovers() {
    let mut simulation = Simulation::new(&[("east", 1), ("west", 4)], 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    let changes = simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Lost)]);
    let changes = simulation.run(15_000.0, |_, _, _| Some(true));
    assert_eq!(
        reasons(&changes),
        [
            ("east".to_owned(), Reason::Answered),
            ("east".to_owned(), Reason::Recovered)
        ]
    );
}

#[test]
fn recovery_takes_the_configured_time_and_total_of_all_dispatchers_stays_within_full_use() {
    for dispatchers in [1.0, 3.0, 200.0] {
        let mut simulation = Simulation::new(TWO_ZONES, dispatchers);
        simulation.run(3000.0, |_, _, _| Some(true));
        simulation.run(3000.0, |zone, _, _| Some(zone == 1));
        let (mut previous_threads, mut recovered_ms) = (0.0, None);
        for step in 0..200 {
            let changes = simulation.run(EVALUATION_INTERVAL_MS, |_, _, _| Some(true));
            let threads = simulation.threads(0) * dispatchers;
            if changes
                .iter()
                .any(|change| change.reason == Reason::Recovered)
            {
                recovered_ms = Some(f64::from(step) * EVALUATION_INTERVAL_MS);
                break;
            }
            // Full use is 64 threads: four engines with 8 cores each, and 2 threads per core.
            assert!(
                threads >= previous_threads - 1e-9 && threads <= 64.0 + 1e-9,
                "{threads} after {previous_threads}"
            );
            assert!(
                threads - previous_threads <= 64.0 * (0.1 + 0.02),
                "a jump from {previous_threads} to {threads}"
            );
            previous_threads = threads;
        }
        let recovered_ms = recovered_ms.expect("the recovery completes");
        assert!(
            (9_000.0..=12_000.0).contains(&recovered_ms),
            "{recovered_ms}"
        );
    }
}

#[test]
fn failures_set_a_recovery_back_and_another_loss_restarts_it() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    simulation.run(5000.0, |_, _, _| Some(true));
    let threads_mid_ramp = simulation.threads(0);
    // Half of the answers are missing: the limit decreases, but the zone stays in recovery.
    let changes = simulation.run(4000.0, |zone, n, now| {
        Some(zone == 1 || (now as u64 / 100 + n as u64).is_multiple_of(2))
    });
    assert!(
        changes.is_empty() && simulation.threads(0) < threads_mid_ramp / 2.0,
        "{changes:?} {} {threads_mid_ramp}",
        simulation.threads(0)
    );
    // The zone fails during its recovery and answers again: the ramp restarts at the initial fraction.
    let changes = simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(
        reasons(&changes),
        [("east".to_owned(), Reason::FailedAgain)]
    );
    assert_eq!(simulation.threads(0), 0.0);
    simulation.run(2.0 * EVALUATION_INTERVAL_MS, |_, _, _| Some(true));
    assert!(
        simulation.threads(0) <= 64.0 * 0.15,
        "{}",
        simulation.threads(0)
    );
}

#[test]
fn flapping_zone_never_gets_more_than_its_recovery_ramp_allows() {
    for period_ms in [1000.0, 2000.0, 5000.0, 13_000.0, 30_000.0, 60_000.0] {
        let mut simulation = Simulation::new(TWO_ZONES, 1.0);
        simulation.run(3000.0, |_, _, _| Some(true));
        let (mut losses, mut answering_since_ms) = (0, 0.0);
        for _ in 0..3000 {
            let answers = |now: f64| ((now / period_ms) as u64).is_multiple_of(2);
            let changes = simulation.run(EVALUATION_INTERVAL_MS, |zone, _, now| {
                Some(zone == 1 || answers(now))
            });
            losses += changes
                .iter()
                .filter(|change| matches!(change.reason, Reason::Lost | Reason::FailedAgain))
                .count();
            if changes
                .iter()
                .any(|change| change.reason == Reason::Answered)
            {
                answering_since_ms = simulation.now_ms;
            }
            if let Some(ZoneState::Recovering(fraction)) = simulation.detector.state("east") {
                let max_fraction = 0.1
                    + 0.9 * (simulation.now_ms - answering_since_ms + 2.0 * EVALUATION_INTERVAL_MS)
                        / 10_000.0;
                assert!(
                    fraction <= max_fraction.min(1.0) + 1e-9,
                    "{fraction} after {} ms",
                    simulation.now_ms - answering_since_ms
                );
            }
        }
        // A zone whose silences are shorter than `silent_ms` (1200 ms) does not become unreachable.
        assert_eq!(
            losses > 0,
            period_ms > 1200.0,
            "{losses} losses with a period of {period_ms} ms"
        );
    }
}

#[test]
fn each_dispatcher_decides_by_its_own_evidence_during_a_partial_partition() {
    let mut cut_off = Simulation::new(TWO_ZONES, 2.0);
    let mut peer = Simulation::new(TWO_ZONES, 2.0);
    cut_off.run(3000.0, |_, _, _| Some(true));
    peer.run(3000.0, |_, _, _| Some(true));
    let mut changes = Vec::new();
    for _ in 0..40 {
        changes.extend(cut_off.run(EVALUATION_INTERVAL_MS, |zone, _, _| Some(zone == 1)));
        assert_eq!(peer.run(EVALUATION_INTERVAL_MS, |_, _, _| Some(true)), []);
        if let Some(message) = cut_off.detector.poll_message(cut_off.now_ms) {
            peer.detector.handle(
                Event::PeerMessage {
                    peer: 0,
                    content: &message,
                },
                peer.now_ms,
            );
        }
        if let Some(message) = peer.detector.poll_message(peer.now_ms) {
            cut_off.detector.handle(
                Event::PeerMessage {
                    peer: 1,
                    content: &message,
                },
                cut_off.now_ms,
            );
        }
    }
    // Peers' reports do not change a zone's state, but they determine the reason of the loss.
    assert_eq!(
        reasons(&changes),
        [("east".to_owned(), Reason::LostFromHere)]
    );
    assert_eq!(peer.detector.state("east"), Some(ZoneState::Healthy));
}

#[test]
fn zone_whose_attempts_time_out_becomes_unreachable() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    // The zone's answers do not arrive; at every third evaluation the attempts on its engines time out.
    let changes = simulation.run(6000.0, |zone, _, now| {
        (zone == 1 || (now as u64).is_multiple_of(300)).then_some(zone == 1)
    });
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Lost)]);
}

#[test]
fn endpoint_list_does_not_restore_an_unreachable_zone_and_dropping_answering_engines_is_recorded() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    // Repeated lists that report the engines as ready do not count as answers.
    (0..5).for_each(|_| simulation.list_engines(|_, _| true));
    simulation.detector.evaluate(simulation.now_ms);
    assert_eq!(
        simulation.detector.state("east"),
        Some(ZoneState::Unreachable)
    );
    // A list drops three of four engines that answered within the last 2 s.
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    let engines: Vec<Engine> = simulation
        .engines(|_, _| true)
        .into_iter()
        .filter(|engine| engine.engine_id >= 100 || engine.engine_id == 0)
        .collect();
    simulation
        .detector
        .handle(Event::EnginesListed(&engines), simulation.now_ms);
    assert_eq!(
        reasons(&simulation.detector.take_changes()),
        [("east".to_owned(), Reason::ListDropsEngines)]
    );
    // Attempts are sent only to listed engines (rule 3). The zone stays healthy, and its spill limit covers only the
    // cores of the engine that is left.
    assert_eq!(simulation.detector.state("east"), Some(ZoneState::Healthy));
    assert!((simulation.plan().zones[0].spill_threads - 0.4 * 8.0).abs() < 1e-9);
}

#[test]
fn spill_of_two_lost_zones_into_the_third_stays_within_its_limit() {
    let zones = &[("east", 4), ("west", 4), ("south", 4)];
    let mut simulation = Simulation::new(zones, 2.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(4000.0, |zone, _, _| Some(zone == 2));
    assert_eq!((simulation.threads(0), simulation.threads(1)), (0.0, 0.0));
    let plan = simulation.plan();
    // Each of the two dispatchers may use half of 0.4 threads per core on 32 cores, whichever zone the work comes from.
    assert!(
        (plan.zones[2].spill_threads - 0.4 * 32.0 / 2.0).abs() < 1e-9,
        "{plan:?}"
    );
    assert!((plan.zones[2].spill_threads_by_class[1] - 0.1 * 32.0 / 2.0).abs() < 1e-9);
    assert_eq!(
        plan.zones
            .iter()
            .map(|zone| zone.ranks[0])
            .collect::<Vec<_>>(),
        [0, 1, 2]
    );
}

#[test]
fn engines_with_new_identifiers_follow_the_recovery_of_their_zone() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    let mut engines = simulation.engines(|_, _| true);
    engines
        .iter_mut()
        .filter(|engine| engine.engine_id < 100)
        .for_each(|engine| engine.engine_id += 50);
    simulation
        .detector
        .handle(Event::EnginesListed(&engines), simulation.now_ms);
    assert_eq!(simulation.threads(0), 0.0);
    let observation = Observation {
        engine_id: 50,
        kind: ObservationKind::Answered,
    };
    simulation
        .detector
        .handle(Event::EngineObserved(observation), simulation.now_ms + 50.0);
    simulation
        .detector
        .evaluate(simulation.now_ms + EVALUATION_INTERVAL_MS);
    assert!(matches!(
        simulation.detector.state("east"),
        Some(ZoneState::Recovering(_))
    ));
    assert!(simulation.threads(0) <= 64.0 * 0.11);
}

#[test]
fn draining_and_removed_engines_do_not_count_as_evidence() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    // All engines but one drain; the remaining ready engine answers again.
    simulation.list_engines(|zone, n| zone == 1 || n == 3);
    let changes = simulation.run(300.0, |zone, n, _| Some(zone == 1 || n == 3));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Answered)]);
    // All engines of the zone are removed: the zone causes no further changes.
    let remaining = simulation.engines(|_, _| true)[4..].to_vec();
    simulation
        .detector
        .handle(Event::EnginesListed(&remaining), simulation.now_ms);
    assert!(simulation
        .run(1000.0, |zone, _, _| (zone == 1).then_some(true))
        .is_empty());
}

#[test]
fn restarted_dispatcher_detects_the_loss_and_invalid_messages_change_nothing() {
    let mut simulation = Simulation::new(TWO_ZONES, 4.0);
    let changes = simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Lost)]);
    // An empty message, and a report with an unknown zone and an incomplete entry.
    simulation.detector.handle(
        Event::PeerMessage {
            peer: 1,
            content: b"",
        },
        simulation.now_ms,
    );
    simulation.detector.handle(
        Event::PeerMessage {
            peer: 2,
            content: &[3, 1, 0, 9, 9, 1, 7],
        },
        simulation.now_ms,
    );
    assert_eq!(simulation.run(3000.0, |zone, _, _| Some(zone == 1)), []);
}

#[test]
fn peers_beyond_the_configured_number_get_a_share() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    simulation.run(1000.0, |_, _, _| Some(true));
    let threads_without_peers = simulation.threads(0);
    for peer in 0..3 {
        simulation.detector.handle(
            Event::PeerMessage {
                peer,
                content: &[3, 1, 0],
            },
            simulation.now_ms,
        );
    }
    assert!((simulation.threads(0) - threads_without_peers / 4.0).abs() < 1e-9);
}

#[test]
fn clock_jumps_and_pauses_do_not_advance_a_recovery() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    simulation.run(500.0, |_, _, _| Some(true));
    let threads_before = simulation.threads(0);
    simulation.detector.evaluate(simulation.now_ms - 50_000.0);
    simulation.detector.evaluate(simulation.now_ms + 600_000.0);
    assert!(
        simulation.threads(0) <= threads_before + 64.0 * 0.1,
        "{threads_before} {}",
        simulation.threads(0)
    );
}

#[test]
fn unreachable_zone_is_health_checked_and_an_untried_one_begins_to_recover() {
    let mut simulation = Simulation::new(TWO_ZONES, 1.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    // Health checks go to the engines of the zone in turn, two per second.
    let mut checked = Vec::new();
    for _ in 0..40 {
        simulation.run(EVALUATION_INTERVAL_MS, |zone, _, _| {
            (zone == 1).then_some(true)
        });
        checked.extend(simulation.detector.poll_health_check(simulation.now_ms));
    }
    assert_eq!(checked.len(), 8);
    assert!(
        checked.iter().all(|engine_id| *engine_id < 100) && checked[0] != checked[1],
        "{checked:?}"
    );
    // Without health checks or attempts, the zone begins to recover at the initial fraction. If it fails again, it
    // becomes unreachable again.
    let changes = simulation.run(15_000.0, |zone, _, _| (zone == 1).then_some(true));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Untried)]);
    assert!(simulation.threads(0) <= 64.0 * 0.1 + 1e-9 && simulation.threads(0) > 0.0);
    let changes = simulation.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(
        reasons(&changes),
        [("east".to_owned(), Reason::FailedAgain)]
    );
}

#[test]
fn arbitrary_peer_messages_cause_no_panic_and_do_not_make_a_zone_unreachable() {
    let mut simulation = Simulation::new(TWO_ZONES, 2.0);
    simulation.run(3000.0, |_, _, _| Some(true));
    let mut random_state = 7_u32;
    for n in 0..20_000 {
        let bytes: Vec<u8> = (0..n % 40)
            .map(|_| {
                random_state = random_state
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223);
                (random_state >> 24) as u8
            })
            .collect();
        simulation.detector.handle(
            Event::PeerMessage {
                peer: n % 7,
                content: &bytes,
            },
            simulation.now_ms,
        );
        let framed = [&[3, 1, 1], bytes.as_slice()].concat();
        simulation.detector.handle(
            Event::PeerMessage {
                peer: n % 7,
                content: &framed,
            },
            simulation.now_ms,
        );
    }
    assert_eq!(simulation.run(2000.0, |_, _, _| Some(true)), []);
}
