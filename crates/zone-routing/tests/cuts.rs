//! Zones that are cut, half cut, flap, come back cold or under other names, in virtual time; each hard case by name.

use tansymux_zone_routing::{
    Changed, Climb, Cut, Definition, Engine, Kind, Plan, Route, Seen, Spill, Tier, Why,
    ZoneHealthDetector, ZoneState,
};

const LOOK: f64 = 100.0;

fn definition() -> Definition {
    let tiers = |names: &[&str]| {
        names
            .iter()
            .map(|name| Tier {
                zones: vec![name.to_string()],
            })
            .collect()
    };
    Definition {
        routes: vec![
            Route {
                class: None,
                from: Some("east".into()),
                tiers: tiers(&["east", "west", "south"]),
            },
            Route {
                class: None,
                from: Some("west".into()),
                tiers: tiers(&["west", "east", "south"]),
            },
        ],
        spills: vec![
            Spill {
                into: None,
                class: None,
                most: 0.4,
            },
            Spill {
                into: None,
                class: Some("report".into()),
                most: 0.1,
            },
        ],
        cut: Cut::default(),
        climb: Climb {
            first: 0.1,
            over: 10_000.0,
            whole: 2.0,
        },
        cross_retries: 0.5,
    }
}

/// Zones of so many engines each, and what their engines do.
struct World {
    judge: ZoneHealthDetector,
    zones: Vec<(&'static str, usize)>,
    now: f64,
}

fn engine_id(zone: usize, engine: usize) -> u64 {
    (zone * 100 + engine) as u64
}

impl World {
    fn new(zones: &[(&'static str, usize)], dispatchers: f64) -> Self {
        let mut world = World {
            judge: ZoneHealthDetector::new(definition(), dispatchers),
            zones: zones.to_vec(),
            now: 0.0,
        };
        world.list(|_, _| true);
        world
    }

    fn engines(&self, ready: impl Fn(usize, usize) -> bool) -> Vec<Engine> {
        let of = |(zone, (name, many)): (usize, &(&'static str, usize))| {
            let engine = |n| Engine {
                engine_id: engine_id(zone, n),
                zone: name.to_string(),
                cores: 8.0,
                ready: ready(zone, n),
            };
            (0..*many).map(engine).collect::<Vec<_>>()
        };
        self.zones.iter().enumerate().flat_map(of).collect()
    }

    fn list(&mut self, ready: impl Fn(usize, usize) -> bool) {
        let engines = self.engines(ready);
        self.judge.listed(self.now, &engines);
    }

    /// So long with each engine tried in every look, heard where `heard` says so; what changed.
    fn run(
        &mut self,
        lasts: f64,
        heard: impl Fn(usize, usize, f64) -> Option<bool>,
    ) -> Vec<Changed> {
        let end = self.now + lasts;
        while self.now < end {
            self.now += LOOK;
            for zone in 0..self.zones.len() {
                for engine in 0..self.zones[zone].1 {
                    if let Some(heard) = heard(zone, engine, self.now) {
                        let kind = if heard { Kind::Heard } else { Kind::Lost };
                        self.judge.seen(
                            self.now,
                            Seen {
                                engine_id: engine_id(zone, engine),
                                kind,
                            },
                        );
                    }
                }
            }
            self.judge.look(self.now);
        }
        self.judge.changes()
    }

    fn plan(&self) -> Plan {
        self.judge.plan("east", &["look".into(), "report".into()])
    }

    fn threads(&self, zone: usize) -> f64 {
        self.plan()
            .engines
            .iter()
            .filter(|e| e.engine_id / 100 == zone as u64)
            .map(|e| e.threads)
            .sum()
    }
}

fn whys(changes: &[Changed]) -> Vec<(String, Why)> {
    changes
        .iter()
        .map(|change| (change.zone.clone(), change.why))
        .collect()
}

const TWO: &[(&str, usize)] = &[("east", 4), ("west", 4)];

#[test]
fn a_cut_zone_is_told_within_seconds_and_gets_nothing_while_the_other_is_well() {
    let mut world = World::new(TWO, 1.0);
    assert_eq!(world.run(3000.0, |_, _, _| Some(true)), []);
    let changes = world.run(2500.0, |zone, _, _| Some(zone == 1));
    assert_eq!(whys(&changes), [("east".to_owned(), Why::Lost)]);
    assert!(changes[0].at <= 3000.0 + 1500.0, "{}", changes[0].at);
    assert_eq!((world.threads(0), world.threads(1)), (0.0, f64::INFINITY));
}

#[test]
fn a_slow_zone_and_one_whose_engines_err_or_are_full_are_not_cut() {
    let mut world = World::new(TWO, 1.0);
    // It answers seldom, but it answers.
    assert_eq!(
        world.run(60_000.0, |zone, n, now| Some(
            zone == 1 || (now as u64 / 100 + n as u64).is_multiple_of(9)
        )),
        []
    );
    assert_eq!(world.judge.state("east"), Some(ZoneState::Well));
}

#[test]
fn one_engine_that_fails_is_no_cut() {
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
fn a_dispatcher_that_is_cut_off_itself_judges_no_zone() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    let changes = world.run(5000.0, |_, _, _| Some(false));
    assert_eq!(whys(&changes), [("east".to_owned(), Why::Alone)]);
    assert!(world.judge.alone() && world.plan().alone);
    // Nothing was called cut: when it is back, it goes on as before and starts no climb.
    let changes = world.run(5000.0, |_, _, _| Some(true));
    assert_eq!(whys(&changes), [("east".to_owned(), Why::NotAlone)]);
    assert_eq!(
        (world.threads(0), world.threads(1)),
        (f64::INFINITY, f64::INFINITY)
    );
}

#[test]
fn a_cut_zone_and_then_the_rest_fails_too() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(4000.0, |zone, _, _| Some(zone == 1));
    let changes = world.run(4000.0, |_, _, _| Some(false));
    // The second zone is not called cut: there is nobody left to judge by.
    assert!(
        whys(&changes).contains(&("east".to_owned(), Why::Alone)),
        "{changes:?}"
    );
    assert_eq!(world.judge.state("west"), Some(ZoneState::Well));
}

#[test]
fn a_zone_of_one_engine() {
    let mut world = World::new(&[("east", 1), ("west", 4)], 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    let changes = world.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(whys(&changes), [("east".to_owned(), Why::Lost)]);
    let changes = world.run(15_000.0, |_, _, _| Some(true));
    assert_eq!(
        whys(&changes),
        [
            ("east".to_owned(), Why::Heard),
            ("east".to_owned(), Why::Climbed)
        ]
    );
}

#[test]
fn it_climbs_back_gradually_in_the_stated_time_and_all_dispatchers_together_give_no_more_than_the_whole(
) {
    for dispatchers in [1.0, 3.0, 200.0] {
        let mut world = World::new(TWO, dispatchers);
        world.run(3000.0, |_, _, _| Some(true));
        world.run(3000.0, |zone, _, _| Some(zone == 1));
        let (mut before, mut finished) = (0.0, None);
        for step in 0..200 {
            let changes = world.run(LOOK, |_, _, _| Some(true));
            let given = world.threads(0) * dispatchers;
            if changes.iter().any(|change| change.why == Why::Climbed) {
                finished = Some(f64::from(step) * LOOK);
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
fn a_climb_slows_where_answers_worsen_and_starts_anew_where_it_falls_again() {
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
    assert_eq!(whys(&changes), [("east".to_owned(), Why::FailsAgain)]);
    assert_eq!(world.threads(0), 0.0);
    world.run(2.0 * LOOK, |_, _, _| Some(true));
    assert!(world.threads(0) <= 64.0 * 0.15, "{}", world.threads(0));
}

#[test]
fn a_zone_that_flaps_is_never_given_more_than_its_climb_allows() {
    for period in [1000.0, 2000.0, 5000.0, 13_000.0, 30_000.0, 60_000.0] {
        let mut world = World::new(TWO, 1.0);
        world.run(3000.0, |_, _, _| Some(true));
        let (mut cuts, mut up_since) = (0, 0.0);
        for _ in 0..3000 {
            let up = |now: f64| ((now / period) as u64).is_multiple_of(2);
            let changes = world.run(LOOK, |zone, _, now| Some(zone == 1 || up(now)));
            cuts += changes
                .iter()
                .filter(|change| matches!(change.why, Why::Lost | Why::FailsAgain))
                .count();
            if changes.iter().any(|change| change.why == Why::Heard) {
                up_since = world.now;
            }
            if let Some(ZoneState::Climbing(part)) = world.judge.state("east") {
                let most = 0.1 + 0.9 * (world.now - up_since + 2.0 * LOOK) / 10_000.0;
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
fn a_cut_that_half_of_the_dispatchers_see_is_judged_by_each_for_itself() {
    let mut sees = World::new(TWO, 2.0);
    let mut other = World::new(TWO, 2.0);
    sees.run(3000.0, |_, _, _| Some(true));
    other.run(3000.0, |_, _, _| Some(true));
    let mut changes = Vec::new();
    for _ in 0..40 {
        changes.extend(sees.run(LOOK, |zone, _, _| Some(zone == 1)));
        assert_eq!(other.run(LOOK, |_, _, _| Some(true)), []);
        if let Some(message) = sees.judge.tells(sees.now) {
            other.judge.heard(other.now, 0, &message);
        }
        if let Some(message) = other.judge.tells(other.now) {
            sees.judge.heard(sees.now, 1, &message);
        }
    }
    // Hearsay moves nobody, but who is cut knows that it is the way from here.
    assert_eq!(whys(&changes), [("east".to_owned(), Why::LostFromHere)]);
    assert_eq!(other.judge.state("east"), Some(ZoneState::Well));
}

#[test]
fn a_one_way_cut_where_requests_arrive_and_answers_do_not_is_a_cut() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    // Seen from here it is silence; every third look an engine's time runs out.
    let changes = world.run(6000.0, |zone, _, now| {
        (zone == 1 || (now as u64).is_multiple_of(300)).then_some(zone == 1)
    });
    assert_eq!(whys(&changes), [("east".to_owned(), Why::Lost)]);
}

#[test]
fn a_list_that_names_lost_engines_ready_is_not_believed_and_one_that_drops_healthy_ones_is_told() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    // The list says ready, again and again.
    (0..5).for_each(|_| world.list(|_, _| true));
    world.judge.look(world.now);
    assert_eq!(world.judge.state("east"), Some(ZoneState::Cut));
    // It drops three of four that answered a moment ago.
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    let engines: Vec<Engine> = world
        .engines(|_, _| true)
        .into_iter()
        .filter(|e| e.engine_id >= 100 || e.engine_id == 0)
        .collect();
    world.judge.listed(world.now, &engines);
    assert_eq!(
        whys(&world.judge.changes()),
        [("east".to_owned(), Why::ListDrops)]
    );
    // What is dropped can't be sent to (rule 3); the zone itself is well, and its room shrinks with it.
    assert_eq!(world.judge.state("east"), Some(ZoneState::Well));
    assert!((world.plan().zones[0].spill - 0.4 * 8.0).abs() < 1e-9);
}

#[test]
fn three_zones_where_the_spill_of_two_meets_in_the_third() {
    let zones = &[("east", 4), ("west", 4), ("south", 4)];
    let mut world = World::new(zones, 2.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(4000.0, |zone, _, _| Some(zone == 2));
    assert_eq!((world.threads(0), world.threads(1)), (0.0, 0.0));
    let plan = world.plan();
    // Each of two dispatchers may put half of 0.4 of 32 cores there, whichever zone it comes from.
    assert!(
        (plan.zones[2].spill - 0.4 * 32.0 / 2.0).abs() < 1e-9,
        "{plan:?}"
    );
    assert!((plan.zones[2].spill_by_class[1] - 0.1 * 32.0 / 2.0).abs() < 1e-9);
    assert_eq!(
        plan.zones
            .iter()
            .map(|zone| zone.ranks[0])
            .collect::<Vec<_>>(),
        [0, 1, 2]
    );
}

#[test]
fn engines_that_return_under_new_ids_climb_like_the_zone_they_stand_in() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    let mut engines = world.engines(|_, _| true);
    engines
        .iter_mut()
        .filter(|e| e.engine_id < 100)
        .for_each(|e| e.engine_id += 50);
    world.judge.listed(world.now, &engines);
    assert_eq!(world.threads(0), 0.0);
    world.judge.seen(
        world.now + 50.0,
        Seen {
            engine_id: 50,
            kind: Kind::Heard,
        },
    );
    world.judge.look(world.now + LOOK);
    assert!(matches!(
        world.judge.state("east"),
        Some(ZoneState::Climbing(_))
    ));
    assert!(world.threads(0) <= 64.0 * 0.11);
}

#[test]
fn a_drain_that_is_announced_during_the_cut_leaves_no_evidence_behind() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    // All but one drain; the one that is ready answers again.
    world.list(|zone, n| zone == 1 || n == 3);
    let changes = world.run(300.0, |zone, n, _| Some(zone == 1 || n == 3));
    assert_eq!(whys(&changes), [("east".to_owned(), Why::Heard)]);
    // All gone: the zone is no reason for anything.
    world
        .judge
        .listed(world.now, &world.engines(|_, _| true)[4..]);
    assert!(world
        .run(1000.0, |zone, _, _| (zone == 1).then_some(true))
        .is_empty());
}

#[test]
fn a_dispatcher_that_restarts_mid_cut_learns_it_anew_and_silent_peers_change_nothing() {
    let mut world = World::new(TWO, 4.0);
    let changes = world.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(whys(&changes), [("east".to_owned(), Why::Lost)]);
    // Messages that are none, old or of other zones.
    world.judge.heard(world.now, 1, b"");
    world.judge.heard(world.now, 2, &[3, 1, 0, 9, 9, 1, 7]);
    assert_eq!(world.run(3000.0, |zone, _, _| Some(zone == 1)), []);
}

#[test]
fn more_dispatchers_that_are_heard_than_were_told_share_as_well() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    world.run(1000.0, |_, _, _| Some(true));
    let alone = world.threads(0);
    for peer in 0..3 {
        world.judge.heard(world.now, peer, &[3, 1, 0]);
    }
    assert!((world.threads(0) - alone / 4.0).abs() < 1e-9);
}

#[test]
fn clocks_that_jump_and_pauses_climb_nothing() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    world.run(500.0, |_, _, _| Some(true));
    let before = world.threads(0);
    world.judge.look(world.now - 50_000.0);
    world.judge.look(world.now + 600_000.0);
    assert!(
        world.threads(0) <= before + 64.0 * 0.1,
        "{before} {}",
        world.threads(0)
    );
}

#[test]
fn a_cut_zone_is_probed_and_one_that_nobody_tries_is_tried_again() {
    let mut world = World::new(TWO, 1.0);
    world.run(3000.0, |_, _, _| Some(true));
    world.run(3000.0, |zone, _, _| Some(zone == 1));
    // Each of its engines in turn, twice a second.
    let mut probed = Vec::new();
    for _ in 0..40 {
        world.run(LOOK, |zone, _, _| (zone == 1).then_some(true));
        probed.extend(world.judge.probes(world.now));
    }
    assert_eq!(probed.len(), 8);
    assert!(
        probed.iter().all(|engine_id| *engine_id < 100) && probed[0] != probed[1],
        "{probed:?}"
    );
    // Where no probe is sent and all go elsewhere, it is tried with a first part, and cut again if it fails.
    let changes = world.run(15_000.0, |zone, _, _| (zone == 1).then_some(true));
    assert_eq!(whys(&changes), [("east".to_owned(), Why::Untried)]);
    assert!(world.threads(0) <= 64.0 * 0.1 + 1e-9 && world.threads(0) > 0.0);
    let changes = world.run(3000.0, |zone, _, _| Some(zone == 1));
    assert_eq!(whys(&changes), [("east".to_owned(), Why::FailsAgain)]);
}

#[test]
fn no_bytes_of_peers_make_it_panic_or_call_a_zone_cut() {
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
        world.judge.heard(world.now, n % 7, &bytes);
        world
            .judge
            .heard(world.now, n % 7, &[&[3, 1, 1], bytes.as_slice()].concat());
    }
    assert_eq!(world.run(2000.0, |_, _, _| Some(true)), []);
}
