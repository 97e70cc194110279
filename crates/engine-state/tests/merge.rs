//! Merging and weighting of observations: an example of each guarantee, and property tests of merging with random
//! observations in random order.

use proptest::prelude::*;
use tansymux_engine_state::codec::{self, CodecError};
use tansymux_engine_state::{EngineStateCache, Observation, ObservationKind, Verification};

const OWN: u64 = 1;
const PEER: u64 = 2;
const OTHER_PEER: u64 = 3;

fn observation(
    kind: ObservationKind,
    value: f64,
    origin_id: u64,
    sequence: u32,
    age_ms: f64,
) -> Observation {
    Observation {
        engine_id: 9,
        incarnation: 1,
        kind,
        value,
        origin_id,
        sequence,
        age_ms,
    }
}

#[test]
fn engine_counts_as_draining_until_its_next_incarnation() {
    let mut cache = EngineStateCache::new(OWN);
    cache.merge(
        &observation(ObservationKind::Draining, 1.0, PEER, 1, 500.0),
        0.0,
    );
    // Neither age, nor refutations of the origin, nor this dispatcher's own observation of an answer ends the draining
    // state.
    (0..50).for_each(|_| cache.record_verification(PEER, Verification::Refuted));
    cache.record(9, 1, ObservationKind::Unresponsive, 0.0, 1000.0);
    assert!(cache.view(9, 1000.0).is_draining_or_gone && cache.view(9, 1e9).is_draining_or_gone);
    cache.record(9, 2, ObservationKind::Unresponsive, 0.0, 2000.0);
    assert!(!cache.view(9, 2000.0).is_draining_or_gone);
    // Late observations of the previous incarnation are ignored.
    cache.merge(
        &observation(ObservationKind::Draining, 1.0, OTHER_PEER, 7, 0.0),
        3000.0,
    );
    assert!(!cache.view(9, 3000.0).is_draining_or_gone);
}

#[test]
fn recent_observation_of_an_answer_or_a_timeout_outweighs_an_old_one() {
    let suspicion = |unresponsive_age_ms: f64, responsive_age_ms: f64| {
        let mut cache = EngineStateCache::new(OWN);
        cache.merge(
            &observation(
                ObservationKind::Unresponsive,
                1.0,
                PEER,
                1,
                unresponsive_age_ms,
            ),
            0.0,
        );
        cache.merge(
            &observation(
                ObservationKind::Unresponsive,
                0.0,
                OTHER_PEER,
                1,
                responsive_age_ms,
            ),
            0.0,
        );
        cache.view(9, 0.0).suspicion
    };
    assert!(
        suspicion(200.0, 20_000.0) > 0.6,
        "{}",
        suspicion(200.0, 20_000.0)
    );
    assert!(
        suspicion(20_000.0, 200.0) < 0.1,
        "{}",
        suspicion(20_000.0, 200.0)
    );
}

#[test]
fn own_observation_outweighs_a_received_one() {
    let mut cache = EngineStateCache::new(OWN);
    cache.merge(
        &observation(ObservationKind::Unresponsive, 1.0, PEER, 1, 0.0),
        0.0,
    );
    assert!(cache.view(9, 0.0).suspicion > 0.6);
    cache.record(9, 1, ObservationKind::Unresponsive, 0.0, 100.0);
    assert!(
        cache.view(9, 100.0).suspicion < 0.2,
        "{}",
        cache.view(9, 100.0).suspicion
    );
}

#[test]
fn refutations_lower_the_weight_of_all_observations_of_the_origin() {
    let mut cache = EngineStateCache::new(OWN);
    cache.merge(
        &observation(ObservationKind::Slowdown, 2.0, PEER, 1, 0.0),
        0.0,
    );
    let before = cache.view(9, 0.0).slowdown.unwrap().weight;
    (0..4).for_each(|_| cache.record_verification(PEER, Verification::Refuted));
    let after = cache.view(9, 0.0).slowdown.unwrap().weight;
    assert!(after < before / 3.0, "{before} {after}");
    (0..40).for_each(|_| cache.record_verification(PEER, Verification::Confirmed));
    assert!(cache.view(9, 0.0).slowdown.unwrap().weight > after * 2.0);
}

#[test]
fn observation_forwarded_in_a_loop_does_not_become_younger() {
    let (mut a, mut b, mut c) = (
        EngineStateCache::new(OWN),
        EngineStateCache::new(PEER),
        EngineStateCache::new(OTHER_PEER),
    );
    c.record(9, 1, ObservationKind::Slowdown, 1.5, 0.0);
    let mut now = 0.0;
    for _ in 0..60 {
        now += 1000.0;
        // Each cache forwards its observations; each message is in transit for 40 ms.
        for (from, to) in [(0, 1), (1, 2), (2, 0), (2, 1), (1, 0)] {
            let exported = [&a, &b, &c][from].export(now - 40.0);
            let bytes = codec::encode(&exported, 4096).bytes;
            let receiver = match to {
                0 => &mut a,
                1 => &mut b,
                _ => &mut c,
            };
            codec::decode(&bytes)
                .unwrap()
                .iter()
                .for_each(|observation| receiver.merge(observation, now));
        }
    }
    for cache in [&a, &b, &c] {
        let exported = cache.export(now);
        assert_eq!(exported.len(), 1);
        // The age falls short by no more than the times in transit.
        assert!(
            exported[0].age_ms >= now - 100.0,
            "{} at {now}",
            exported[0].age_ms
        );
    }
}

#[test]
fn uptime_is_the_shortest_that_any_origin_reports() {
    let mut cache = EngineStateCache::new(OWN);
    cache.merge(
        &observation(ObservationKind::Uptime, 60_000.0, PEER, 1, 0.0),
        0.0,
    );
    cache.merge(
        &observation(ObservationKind::Uptime, 2000.0, OTHER_PEER, 1, 500.0),
        0.0,
    );
    assert_eq!(cache.view(9, 1000.0).uptime_ms, Some(3500.0));
}

#[test]
fn decoder_skips_unknown_entries_and_keeps_the_others() {
    let known = [
        observation(ObservationKind::Slowdown, 1.0, PEER, 1, 10.0),
        observation(ObservationKind::Draining, 1.0, PEER, 2, 0.0),
    ];
    let codec::Encoded { mut bytes, count } = codec::encode(&known, 4096);
    assert_eq!((count, codec::decode(&bytes)), (2, Ok(known.to_vec())));
    // Appends an unknown kind, a longer entry, an entry that is too short, and a truncated entry.
    let mut unknown_kind = bytes[2..36].to_vec();
    unknown_kind[1] = 200;
    bytes.extend_from_slice(&unknown_kind);
    let mut longer = bytes[2..36].to_vec();
    longer[0] += 3;
    bytes.extend_from_slice(&longer);
    bytes.extend_from_slice(b"xyz");
    bytes.extend_from_slice(&[2, 0, 0]);
    bytes.extend_from_slice(&[33, 0]);
    assert_eq!(codec::decode(&bytes).unwrap().len(), 3);
    assert_eq!(
        codec::decode(b"\x05\x02abc"),
        Err(CodecError::UnsupportedVersion(2))
    );
    assert_eq!(
        codec::decode(b"\x06\x01"),
        Err(CodecError::WrongMessageType(6))
    );
    assert_eq!(codec::decode(b"\x05"), Err(CodecError::Truncated));
    // An observation beyond the size limit is left out.
    assert!(codec::encode(&known, 40).count == 1 && codec::encode(&known, 40).bytes.len() <= 40);
}

#[test]
fn number_of_engines_and_origins_is_bounded() {
    let mut cache = EngineStateCache::new(OWN);
    for n in 0..50_000_u64 {
        let observation = Observation {
            engine_id: n,
            incarnation: 1,
            kind: ObservationKind::Slowdown,
            value: 1.0,
            origin_id: n % 77 + 2,
            sequence: 1,
            age_ms: 0.0,
        };
        cache.merge(&observation, n as f64);
        cache.merge(
            &Observation {
                engine_id: 5,
                ..observation
            },
            n as f64,
        );
    }
    assert!(cache.len() <= tansymux_engine_state::MAX_ENGINES);
    assert!(
        cache
            .export(0.0)
            .iter()
            .filter(|exported| exported.engine_id == 5)
            .count()
            <= tansymux_engine_state::MAX_ORIGINS
    );
    for value in [f64::NAN, f64::INFINITY] {
        let before = cache.len();
        cache.merge(
            &Observation {
                engine_id: 1_000_000,
                ..observation(ObservationKind::Slowdown, value, PEER, 1, 0.0)
            },
            1e9,
        );
        assert_eq!(cache.len(), before);
    }
}

fn any_observation() -> impl Strategy<Value = Observation> {
    (
        0..3_u64,
        1..3_u32,
        0..8_usize,
        0..4_u32,
        2..6_u64,
        1..4_u32,
        0..5_u32,
    )
        .prop_map(
            |(engine_id, incarnation, kind, value, origin_id, sequence, age)| Observation {
                engine_id,
                incarnation,
                kind: ObservationKind::ALL[kind],
                value: f64::from(value),
                origin_id,
                sequence,
                age_ms: f64::from(age) * 100.0,
            },
        )
}

fn export_after_merging<'a>(
    observations: impl Iterator<Item = &'a Observation>,
) -> Vec<Observation> {
    let mut cache = EngineStateCache::new(OWN);
    observations.for_each(|observation| cache.merge(observation, 1000.0));
    cache.export(1000.0)
}

proptest! {
    #[test]
    fn merge_does_not_depend_on_order_or_repetition(
        observations in proptest::collection::vec(any_observation(), 0..24),
        shuffle_seed in any::<u64>(),
        split_index in 0..24_usize,
    ) {
        let expected = export_after_merging(observations.iter());
        let mut shuffled = observations.clone();
        let mut random_state = shuffle_seed | 1;
        for n in (1..shuffled.len()).rev() {
            random_state = random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(n, (random_state >> 33) as usize % (n + 1));
        }
        prop_assert_eq!(&export_after_merging(shuffled.iter()), &expected);
        prop_assert_eq!(&export_after_merging(observations.iter().chain(&shuffled)), &expected);
        // Two caches merge one part each, and a third cache merges their exports.
        let (a, b) = observations.split_at(split_index.min(observations.len()));
        let (a, b) = (export_after_merging(a.iter()), export_after_merging(b.iter()));
        prop_assert_eq!(&export_after_merging(b.iter().chain(&a)), &expected);
    }

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut with_header = vec![codec::MESSAGE_TYPE, 1];
        with_header.extend_from_slice(&bytes);
        let mut cache = EngineStateCache::new(OWN);
        codec::decode(&bytes).unwrap_or_default().iter().chain(&codec::decode(&with_header).unwrap()).for_each(|observation| cache.merge(observation, 0.0));
        cache.view(9, 0.0);
    }
}
