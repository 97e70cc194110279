//! Merging and belief: each promise by name, and the laws of merging by random facts in random order.

use proptest::prelude::*;
use tansymux_engine_state::{wire, EngineStateCache, Fact, Kind};

const OWN: u64 = 1;
const DONOR: u64 = 2;
const OTHER: u64 = 3;

fn fact(kind: Kind, value: f64, origin: u64, number: u32, age: f64) -> Fact {
    Fact {
        engine: 9,
        start: 1,
        kind,
        value,
        origin,
        number,
        age,
    }
}

#[test]
fn an_engine_that_a_donor_reported_draining_is_never_open_before_a_new_start() {
    let mut facts = EngineStateCache::new(OWN);
    facts.merge(0.0, &fact(Kind::Draining, 1.0, DONOR, 1, 500.0));
    // Neither age, nor a donor that is proven wrong, nor own health takes it back.
    (0..50).for_each(|_| facts.proven(DONOR, false));
    facts.saw(1000.0, 9, 1, Kind::Silent, 0.0);
    assert!(facts.view(9, 1000.0).closed && facts.view(9, 1e9).closed);
    facts.saw(2000.0, 9, 2, Kind::Silent, 0.0);
    assert!(!facts.view(9, 2000.0).closed);
    // And what is still told of its former start does not bring it back.
    facts.merge(3000.0, &fact(Kind::Draining, 1.0, OTHER, 7, 0.0));
    assert!(!facts.view(9, 3000.0).closed);
}

#[test]
fn fresh_silence_outweighs_stale_health_and_fresh_health_stale_silence() {
    let doubt = |silent_age: f64, well_age: f64| {
        let mut facts = EngineStateCache::new(OWN);
        facts.merge(0.0, &fact(Kind::Silent, 1.0, DONOR, 1, silent_age));
        facts.merge(0.0, &fact(Kind::Silent, 0.0, OTHER, 1, well_age));
        facts.view(9, 0.0).doubt
    };
    assert!(doubt(200.0, 20_000.0) > 0.6, "{}", doubt(200.0, 20_000.0));
    assert!(doubt(20_000.0, 200.0) < 0.1, "{}", doubt(20_000.0, 200.0));
}

#[test]
fn what_is_seen_here_outweighs_what_is_told_and_the_newcomer_recovers_by_itself() {
    let mut facts = EngineStateCache::new(OWN);
    facts.merge(0.0, &fact(Kind::Silent, 1.0, DONOR, 1, 0.0));
    assert!(facts.view(9, 0.0).doubt > 0.6);
    facts.saw(100.0, 9, 1, Kind::Silent, 0.0);
    assert!(
        facts.view(9, 100.0).doubt < 0.2,
        "{}",
        facts.view(9, 100.0).doubt
    );
}

#[test]
fn a_donor_that_is_proven_wrong_on_some_facts_loses_weight_on_all() {
    let mut facts = EngineStateCache::new(OWN);
    facts.merge(0.0, &fact(Kind::Pace, 2.0, DONOR, 1, 0.0));
    let before = facts.view(9, 0.0).pace.unwrap().1;
    (0..4).for_each(|_| facts.proven(DONOR, false));
    let after = facts.view(9, 0.0).pace.unwrap().1;
    assert!(after < before / 3.0, "{before} {after}");
    (0..40).for_each(|_| facts.proven(DONOR, true));
    assert!(facts.view(9, 0.0).pace.unwrap().1 > after * 2.0);
}

#[test]
fn donors_that_quote_each_other_make_no_fact_younger() {
    let (mut a, mut b, mut c) = (
        EngineStateCache::new(OWN),
        EngineStateCache::new(DONOR),
        EngineStateCache::new(OTHER),
    );
    c.saw(0.0, 9, 1, Kind::Pace, 1.5);
    let mut now = 0.0;
    for _ in 0..60 {
        now += 1000.0;
        // Round and round, each message 40 ms on its way.
        for (from, to) in [(0, 1), (1, 2), (2, 0), (2, 1), (1, 0)] {
            let told = [&a, &b, &c][from].all(now - 40.0);
            let (bytes, _) = wire::write(&told, 4096);
            let into = match to {
                0 => &mut a,
                1 => &mut b,
                _ => &mut c,
            };
            wire::read(&bytes)
                .iter()
                .for_each(|fact| into.merge(now, fact));
        }
    }
    for facts in [&a, &b, &c] {
        let all = facts.all(now);
        assert_eq!(all.len(), 1);
        // 40 ms on the way is all that may be missing.
        assert!(all[0].age >= now - 100.0, "{} at {now}", all[0].age);
    }
}

#[test]
fn a_cold_start_is_counted_from_the_latest_that_anyone_tells() {
    let mut facts = EngineStateCache::new(OWN);
    facts.merge(0.0, &fact(Kind::Started, 60_000.0, DONOR, 1, 0.0));
    facts.merge(0.0, &fact(Kind::Started, 2000.0, OTHER, 1, 500.0));
    assert_eq!(facts.view(9, 1000.0).started, Some(3500.0));
}

#[test]
fn another_versions_facts_are_passed_over_and_the_rest_is_read() {
    let known = [
        fact(Kind::Pace, 1.0, DONOR, 1, 10.0),
        fact(Kind::Draining, 1.0, DONOR, 2, 0.0),
    ];
    let (mut bytes, count) = wire::write(&known, 4096);
    assert_eq!((count, wire::read(&bytes)), (2, known.to_vec()));
    // A kind that is not known, an entry that is longer, one that is too short, one that is cut.
    let mut more = bytes[2..36].to_vec();
    more[1] = 200;
    bytes.extend_from_slice(&more);
    let mut longer = bytes[2..36].to_vec();
    longer[0] += 3;
    bytes.extend_from_slice(&longer);
    bytes.extend_from_slice(b"xyz");
    bytes.extend_from_slice(&[2, 0, 0]);
    bytes.extend_from_slice(&[33, 0]);
    assert_eq!(wire::read(&bytes).len(), 3);
    assert_eq!(wire::read(b"\x05\x02abc").len(), 0);
    // What does not fit is left for the next message.
    assert!(wire::write(&known, 40).1 == 1 && wire::write(&known, 40).0.len() <= 40);
}

#[test]
fn all_is_bounded() {
    let mut facts = EngineStateCache::new(OWN);
    for n in 0..50_000_u64 {
        let told = Fact {
            engine: n,
            start: 1,
            kind: Kind::Pace,
            value: 1.0,
            origin: n % 77 + 2,
            number: 1,
            age: 0.0,
        };
        facts.merge(n as f64, &told);
        facts.merge(n as f64, &Fact { engine: 5, ..told });
    }
    assert!(facts.len() <= tansymux_engine_state::MAX_ENGINES);
    assert!(
        facts.all(0.0).iter().filter(|f| f.engine == 5).count()
            <= tansymux_engine_state::MAX_ORIGINS
    );
    for value in [f64::NAN, f64::INFINITY] {
        let before = facts.len();
        facts.merge(
            1e9,
            &Fact {
                engine: 1_000_000,
                ..fact(Kind::Pace, value, DONOR, 1, 0.0)
            },
        );
        assert_eq!(facts.len(), before);
    }
}

fn any_fact() -> impl Strategy<Value = Fact> {
    (
        0..3_u64,
        1..3_u32,
        0..8_usize,
        0..4_u32,
        2..6_u64,
        1..4_u32,
        0..5_u32,
    )
        .prop_map(|(engine, start, kind, value, origin, number, age)| Fact {
            engine,
            start,
            kind: Kind::ALL[kind],
            value: f64::from(value),
            origin,
            number,
            age: f64::from(age) * 100.0,
        })
}

fn merged<'a>(facts: impl Iterator<Item = &'a Fact>) -> Vec<Fact> {
    let mut all = EngineStateCache::new(OWN);
    facts.for_each(|fact| all.merge(1000.0, fact));
    all.all(1000.0)
}

proptest! {
    #[test]
    fn merging_is_free_of_order_and_repetition(
        facts in proptest::collection::vec(any_fact(), 0..24), order in any::<u64>(), cut in 0..24_usize,
    ) {
        let plain = merged(facts.iter());
        let mut shuffled = facts.clone();
        let mut x = order | 1;
        for n in (1..shuffled.len()).rev() {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(n, (x >> 33) as usize % (n + 1));
        }
        prop_assert_eq!(&merged(shuffled.iter()), &plain);
        prop_assert_eq!(&merged(facts.iter().chain(&shuffled)), &plain);
        // In two parts, each merged by itself and handed on.
        let (a, b) = facts.split_at(cut.min(facts.len()));
        let (a, b) = (merged(a.iter()), merged(b.iter()));
        prop_assert_eq!(&merged(b.iter().chain(&a)), &plain);
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut framed = vec![wire::KIND, 1];
        framed.extend_from_slice(&bytes);
        let mut facts = EngineStateCache::new(OWN);
        wire::read(&bytes).iter().chain(&wire::read(&framed)).for_each(|fact| facts.merge(0.0, fact));
        facts.view(9, 0.0);
    }
}
