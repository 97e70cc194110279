//! Zones that are cut, partly cut, flap or come back under other identifiers, in virtual time; one test for each case.

mod world;

use tansymux_zone_routing::{Engine, Event, Observation, ObservationKind, Reason, ZoneState};
use world::{reasons, World, EVALUATION_MS, TWO};

#[test]
fn lost_zone_is_reported_within_seconds_and_gets_no_threads() {
    let mut world = World::new(TWO, 1.0);
    assert_eq!(world.run(3000.0, |_, _, _| Some(true)), []);
    let changes = world.run(2500.0, |zone, _, _| Some(zone == 1));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Lost)]);
    assert!(changes[0].at_ms <= 3000.0 + 1500.0, "{}", changes[0].at_ms);
    assert_eq!((world.threads(0), world.threads(1)), (0.0, f64::INFINITY));
}

#[test]
fn slow_zone_that_still_answers_is_not_unreachable() {
    let mut world = World::new(TWO, 1.0);
    // It answers seldom, but it answers.
    assert_eq!(
        world.run(60_000.0, |zone, n, now| Some(
            zone == 1 || (now as u64 / 100 + n as u64).is_multiple_of(9)
        )),
        []
    );
    assert_eq!(world.detector.state("east"), Some(ZoneState::Healthy));
}

#[test]
fn single_failing_engines_do_not_make_a_zone_unreachable() {
    let mut world = World::new(TWO, 1.0);
    assert_eq!(
        world.run(20_000.0, |zone, n, _| Some(zone == 1 || n > 0)),
        []
    );
    // Nor are a few that were tried of many.
    let mut world = World::new(&[("east", 10), ("west", 4)], 1.0);
    assert_eq!(
        world.run(20_000.0, |zone, n, _| (zone == 1 || n < 3)
            .then_some(zone == 1)),
        []
    );
}

#[test]
fn isolated_dispatcher_declares_no_zone_unreachable() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    let changes = world.run(5000.0, |_, _, _| Some(false));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Isolated)]);
    assert!(world.detector.is_isolated() && world.plan().is_isolated);
    // Nothing was called cut: when it is back, it goes on as before and starts no climb.
    let changes = world.run(5000.0, |_, _, _| Some(true));
    assert_eq!(
        reasons(&changes),
        [("east".to_owned(), Reason::NotIsolated)]
    );
    assert_eq!(
        (world.threads(0), world.threads(1)),
        (f64::INFINITY, f64::INFINITY)
    );
}

#[test]
fn second_zone_is_not_declared_unreachable_when_all_zones_fail() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(4000.0, |zone, _, _| Some(zone == 1));
    let changes = world.run(4000.0, |_, _, _| Some(false));
    // The second zone is not called cut: there is nobody left to detector by.
    assert!(
        reasons(&changes).contains(&("east".to_owned(), Reason::Isolated)),
        "{changes:?}"
    );
    assert_eq!(world.detector.state("west"), Some(ZoneState::Healthy));
}

#[test]
fn zone_with_a_single_engine_is_lost_and_recovers() {
    let mut world = World::new(&[("east", 1), ("west", 4)], 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    let changes = world.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Lost)]);
    let changes = world.run(15_000.0, |_, _, _| Some(true));
    assert_eq!(
        reasons(&changes),
        [
            ("east".to_owned(), Reason::Answered),
            ("east".to_owned(), Reason::Recovered)
        ]
    );
}

#[test]
fn recovery_takes_its_configured_time_and_all_dispatchers_together_stay_below_full_use() {
    for dispatchers in [1.0, 3.0, 200.0] {
        let mut world = World::new(TWO, dispatchers);
        world.run(3000.0, |_, _, _| Some(true));
        world.run(3000.0, |zone, _, _| Some(zone == 1));
        let (mut before, mut finished) = (0.0, None);
        for step in 0..200 {
            let changes = world.run(EVALUATION_MS, |_, _, _| Some(true));
            let given = world.threads(0) * dispatchers;
            if changes
                .iter()
                .any(|change| change.reason == Reason::Recovered)
            {
                finished = Some(f64::from(step) * EVALUATION_MS);
                break;
            }
            // Four engines of 8 cores at 2 threads a core.
            assert!(
                given >= before - 1e-9 && given <= 64.0 + 1e-9,
                "{given} after {before}"
            );
            assert!(
                given - before <= 64.0 * (0.1 + 0.02),
                "a jump from {before} to {given}"
            );
            before = given;
        }
        let finished = finished.expect("it climbs to the end");
        assert!((9_000.0..=12_000.0).contains(&finished), "{finished}");
    }
}

#[test]
fn recovery_is_set_back_by_failures_and_starts_anew_after_another_loss() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    world.run(5000.0, |_, _, _| Some(true));
    let half = world.threads(0);
    // Half of the answers fail: less and less is given, but it is not cut.
    let changes = world.run(4000.0, |zone, n, now| {
        Some(zone == 1 || (now as u64 / 100 + n as u64).is_multiple_of(2))
    });
    assert!(
        changes.is_empty() && world.threads(0) < half / 2.0,
        "{changes:?} {} {half}",
        world.threads(0)
    );
    // It falls during the climb, and returns: from the first part on.
    let changes = world.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(
        reasons(&changes),
        [("east".to_owned(), Reason::FailedAgain)]
    );
    assert_eq!(world.threads(0), 0.0);
    world.run(2.0 * EVALUATION_MS, |_, _, _| Some(true));
    assert!(world.threads(0) <= 64.0 * 0.15, "{}", world.threads(0));
}

#[test]
fn flapping_zone_never_gets_more_than_its_recovery_ramp_allows() {
    for period in [1000.0, 2000.0, 5000.0, 13_000.0, 30_000.0, 60_000.0] {
        let mut world = World::new(TWO, 1.0);
        world.run(3000.0, |_, _, _| Some(true));
        let (mut cuts, mut up_since) = (0, 0.0);
        for _ in 0..3000 {
            let up = |now: f64| ((now / period) as u64).is_multiple_of(2);
            let changes = world.run(EVALUATION_MS, |zone, _, now| Some(zone == 1 || up(now)));
            cuts += changes
                .iter()
                .filter(|change| matches!(change.reason, Reason::Lost | Reason::FailedAgain))
                .count();
            if changes
                .iter()
                .any(|change| change.reason == Reason::Answered)
            {
                up_since = world.now;
            }
            if let Some(ZoneState::Recovering(part)) = world.detector.state("east") {
                let most = 0.1 + 0.9 * (world.now - up_since + 2.0 * EVALUATION_MS) / 10_000.0;
                assert!(
                    part <= most.min(1.0) + 1e-9,
                    "{part} after {} ms",
                    world.now - up_since
                );
            }
        }
        // Periods shorter than the quiet time are no cut, but a bad zone.
        assert_eq!(cuts > 0, period > 1200.0, "{cuts} at {period}");
    }
}

#[test]
fn each_dispatcher_decides_by_its_own_evidence_about_a_partial_cut() {
    let mut sees = World::new(TWO, 2.0);
    let mut other = World::new(TWO, 2.0);
    sees.run(3000.0, |_, _, _| Some(true));
    other.run(3000.0, |_, _, _| Some(true));
    let mut changes = Vec::new();
    for _ in 0..40 {
        changes.extend(sees.run(EVALUATION_MS, |zone, _, _| Some(zone == 1)));
        assert_eq!(other.run(EVALUATION_MS, |_, _, _| Some(true)), []);
        if let Some(message) = sees.detector.poll_message(sees.now) {
            other.detector.handle(
                Event::PeerMessage {
                    peer: 0,
                    content: &message,
                },
                other.now,
            );
        }
        if let Some(message) = other.detector.poll_message(other.now) {
            sees.detector.handle(
                Event::PeerMessage {
                    peer: 1,
                    content: &message,
                },
                sees.now,
            );
        }
    }
    // Hearsay moves nobody, but who is cut knows that it is the way from here.
    assert_eq!(
        reasons(&changes),
        [("east".to_owned(), Reason::LostFromHere)]
    );
    assert_eq!(other.detector.state("east"), Some(ZoneState::Healthy));
}

#[test]
fn zone_whose_answers_are_lost_becomes_unreachable() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    // Seen from here there is no answer; at every third evaluation an engine times out.
    let changes = world.run(6000.0, |zone, _, now| {
        (zone == 1 || (now as u64).is_multiple_of(300)).then_some(zone == 1)
    });
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Lost)]);
}

#[test]
fn endpoint_list_does_not_restore_a_lost_zone_and_dropping_healthy_engines_is_reported() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    // The list says ready, again and again.
    (0..5).for_each(|_| world.list(|_, _| true));
    world.detector.evaluate(world.now);
    assert_eq!(world.detector.state("east"), Some(ZoneState::Unreachable));
    // It drops three of four that answered a moment ago.
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    let engines: Vec<Engine> = world
        .engines(|_, _| true)
        .into_iter()
        .filter(|e| e.engine_id >= 100 || e.engine_id == 0)
        .collect();
    world
        .detector
        .handle(Event::EnginesListed(&engines), world.now);
    assert_eq!(
        reasons(&world.detector.take_changes()),
        [("east".to_owned(), Reason::ListDropsEngines)]
    );
    // What is dropped can't be sent to (rule 3); the zone itself is well, and its room shrinks with it.
    assert_eq!(world.detector.state("east"), Some(ZoneState::Healthy));
    assert!((world.plan().zones[0].spill_threads - 0.4 * 8.0).abs() < 1e-9);
}

#[test]
fn spill_of_two_lost_zones_into_the_third_stays_within_its_limit() {
    let zones = &[("east", 4), ("west", 4), ("south", 4)];
    let mut world = World::new(zones, 2.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(4000.0, |zone, _, _| Some(zone == 2));
    assert_eq!((world.threads(0), world.threads(1)), (0.0, 0.0));
    let plan = world.plan();
    // Each of two dispatchers may put half of 0.4 of 32 cores there, whichever zone it comes from.
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
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    let mut engines = world.engines(|_, _| true);
    engines
        .iter_mut()
        .filter(|e| e.engine_id < 100)
        .for_each(|e| e.engine_id += 50);
    world
        .detector
        .handle(Event::EnginesListed(&engines), world.now);
    assert_eq!(world.threads(0), 0.0);
    let observation = Observation {
        engine_id: 50,
        kind: ObservationKind::Answered,
    };
    world
        .detector
        .handle(Event::EngineObserved(observation), world.now + 50.0);
    world.detector.evaluate(world.now + EVALUATION_MS);
    assert!(matches!(
        world.detector.state("east"),
        Some(ZoneState::Recovering(_))
    ));
    assert!(world.threads(0) <= 64.0 * 0.11);
}

#[test]
fn drained_engines_leave_no_evidence_behind() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    // All but one drain; the one that is ready answers again.
    world.list(|zone, n| zone == 1 || n == 3);
    let changes = world.run(300.0, |zone, n, _| Some(zone == 1 || n == 3));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Answered)]);
    // All gone: the zone is no reason for anything.
    let remaining = world.engines(|_, _| true)[4..].to_vec();
    world
        .detector
        .handle(Event::EnginesListed(&remaining), world.now);
    assert!(world
        .run(1000.0, |zone, _, _| (zone == 1).then_some(true))
        .is_empty());
}

#[test]
fn restarted_dispatcher_detects_the_loss_anew_and_invalid_messages_change_nothing() {
    let mut world = World::new(TWO, 4.0);
    let changes = world.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Lost)]);
    // Messages that are none, old or of other zones.
    world.detector.handle(
        Event::PeerMessage {
            peer: 1,
            content: b"",
        },
        world.now,
    );
    world.detector.handle(
        Event::PeerMessage {
            peer: 2,
            content: &[3, 1, 0, 9, 9, 1, 7],
        },
        world.now,
    );
    assert_eq!(world.run(3000.0, |zone, _, _| Some(zone == 1)), []);
}

#[test]
fn peers_beyond_the_configured_number_get_a_share_too() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    world.run(1000.0, |_, _, _| Some(true));
    let alone = world.threads(0);
    for peer in 0..3 {
        world.detector.handle(
            Event::PeerMessage {
                peer,
                content: &[3, 1, 0],
            },
            world.now,
        );
    }
    assert!((world.threads(0) - alone / 4.0).abs() < 1e-9);
}

#[test]
fn clock_jumps_and_pauses_do_not_advance_a_recovery() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    world.run(500.0, |_, _, _| Some(true));
    let before = world.threads(0);
    world.detector.evaluate(world.now - 50_000.0);
    world.detector.evaluate(world.now + 600_000.0);
    assert!(
        world.threads(0) <= before + 64.0 * 0.1,
        "{before} {}",
        world.threads(0)
    );
}

#[test]
fn unreachable_zone_is_health_checked_and_an_untried_one_begins_to_recover() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    // Each of its engines in turn, twice a second.
    let mut probed = Vec::new();
    for _ in 0..40 {
        world.run(EVALUATION_MS, |zone, _, _| (zone == 1).then_some(true));
        probed.extend(world.detector.poll_health_check(world.now));
    }
    assert_eq!(probed.len(), 8);
    assert!(
        probed.iter().all(|engine_id| *engine_id < 100) && probed[0] != probed[1],
        "{probed:?}"
    );
    // Where no probe is sent and all go elsewhere, it is tried with a first part, and cut again if it fails.
    let changes = world.run(15_000.0, |zone, _, _| (zone == 1).then_some(true));
    assert_eq!(reasons(&changes), [("east".to_owned(), Reason::Untried)]);
    assert!(world.threads(0) <= 64.0 * 0.1 + 1e-9 && world.threads(0) > 0.0);
    let changes = world.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(
        reasons(&changes),
        [("east".to_owned(), Reason::FailedAgain)]
    );
}

#[test]
fn no_bytes_of_peers_cause_a_panic_or_make_a_zone_unreachable() {
    let mut world = World::new(TWO, 2.0);
    world.run(3000.0, |_, _, _| Some(true));
    let mut x = 7_u32;
    for n in 0..20_000 {
        let bytes: Vec<u8> = (0..n % 40)
            .map(|_| {
                x = x.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                (x >> 24) as u8
            })
            .collect();
        world.detector.handle(
            Event::PeerMessage {
                peer: n % 7,
                content: &bytes,
            },
            world.now,
        );
        let framed = [&[3, 1, 1], bytes.as_slice()].concat();
        world.detector.handle(
            Event::PeerMessage {
                peer: n % 7,
                content: &framed,
            },
            world.now,
        );
    }
    assert_eq!(world.run(2000.0, |_, _, _| Some(true)), []);
}
