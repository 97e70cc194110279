//! The watch's verdicts and decisions, the shares that members may hold, and members that don't hear.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use tansymux_zone_evacuation::wire::{self, Evidence, Plan, Reach, Told};
use tansymux_zone_evacuation::{
    Decision, Definition, EvacuationController, EvacuationFollower, Fleetwide, RampQuotas, Refused,
    Stage, Use, Verdict, Why,
};

const EAST: u32 = 1;
const WEST: u32 = 2;
const NORTH: u32 = 3;

/// A leader's watch, what is agreed, and a clock.
struct Desk {
    watch: EvacuationController,
    agreed: BTreeMap<u32, Fleetwide>,
    now: f64,
    changes: Vec<Decision>,
    ends: u16,
    bad: u16,
}

impl Desk {
    fn new(definition: Definition) -> Self {
        let mut watch = EvacuationController::new(definition);
        watch.capacity(&[(EAST, 32.0), (WEST, 32.0), (NORTH, 32.0)]);
        Desk {
            watch,
            agreed: BTreeMap::new(),
            now: 1e6,
            changes: Vec::new(),
            ends: 0,
            bad: 0,
        }
    }

    /// Nine members, three in each zone, say how they reach one zone for so long.
    fn says(&mut self, ms: f64, zone: u32, reach: impl Fn(u64, u32) -> Option<(Reach, bool)>) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 250.0;
            self.ends = self.ends.wrapping_add(1);
            let home = |id: u64| [EAST, WEST, NORTH][(id % 3) as usize];
            self.watch.members((0..9).map(|id| (id, home(id), true)));
            for id in 0..9 {
                let Some((reach, alone)) = reach(id, home(id)) else {
                    continue;
                };
                let evidence = |of| Evidence {
                    zone: of,
                    reach: if of == zone { reach } else { Reach::Well },
                    threads: 2.0,
                    good: self.ends,
                    bad: if of == zone { self.bad } else { 0 },
                };
                let zones = [EAST, WEST, NORTH].map(evidence).to_vec();
                self.watch.told(
                    self.now,
                    id,
                    Told {
                        session: 1,
                        number: 1,
                        alone,
                        zones,
                    },
                );
            }
            for decision in self.watch.look(self.now, &self.agreed) {
                match decision.to {
                    Some(to) => drop(self.agreed.insert(decision.zone, to)),
                    None => drop(self.agreed.remove(&decision.zone)),
                }
                self.changes.push(decision);
            }
        }
    }

    fn stage(&self, zone: u32) -> Option<Stage> {
        self.agreed.get(&zone).map(|known| known.stage)
    }
}

fn quick() -> Definition {
    Definition {
        step: 1000.0,
        ..Definition::default()
    }
}

#[test]
fn a_zone_that_nobody_reaches_and_nobody_is_heard_from_is_lost_and_left_once() {
    let mut desk = Desk::new(quick());
    desk.says(5000.0, EAST, |_, home| {
        (home != EAST).then_some((Reach::Cut, false))
    });
    assert_eq!(desk.watch.verdict(desk.now, EAST), Verdict::Lost);
    assert_eq!(
        (desk.changes.len(), desk.stage(EAST)),
        (1, Some(Stage::Left))
    );
}

#[test]
fn a_new_leader_that_remembers_nothing_still_knows_the_list() {
    let mut desk = Desk::new(quick());
    desk.watch.clear();
    desk.says(5000.0, EAST, |_, home| {
        (home != EAST).then_some((Reach::Cut, false))
    });
    assert_eq!(desk.stage(EAST), Some(Stage::Left));
}

#[test]
fn dispatchers_that_live_on_inside_a_cut_show_that_it_is_one() {
    let mut desk = Desk::new(quick());
    desk.says(5000.0, EAST, |_, home| {
        Some((
            if home == EAST {
                Reach::Well
            } else {
                Reach::Cut
            },
            false,
        ))
    });
    assert_eq!(desk.watch.verdict(desk.now, EAST), Verdict::CutOff);
    assert_eq!(desk.agreed[&EAST].why, Why::CutOff);
}

#[test]
fn a_zone_cut_off_from_some_is_not_left_by_all() {
    let mut desk = Desk::new(quick());
    desk.says(8000.0, EAST, |id, home| {
        Some((
            if home != EAST && id < 4 {
                Reach::Cut
            } else {
                Reach::Well
            },
            false,
        ))
    });
    assert_eq!(desk.watch.verdict(desk.now, EAST), Verdict::SomeDont);
    assert!(desk.changes.is_empty());
}

#[test]
fn witnesses_that_are_cut_off_themselves_or_have_seen_nothing_are_none() {
    let mut desk = Desk::new(quick());
    // One outside is well, four are alone and say cut, one has seen nothing.
    desk.says(6000.0, EAST, |id, home| match (home, id) {
        (EAST, _) => Some((Reach::Well, false)),
        (_, 1) => Some((Reach::Unknown, false)),
        (_, 2) => Some((Reach::Well, false)),
        _ => Some((Reach::Cut, true)),
    });
    assert!(desk.changes.is_empty(), "{:?}", desk.changes);
    // Only one in six knows: too few to conclude.
    let mut desk = Desk::new(quick());
    desk.says(6000.0, EAST, |id, _| {
        (id == 1).then_some((Reach::Cut, false))
    });
    assert_eq!(desk.watch.verdict(desk.now, EAST), Verdict::Unknown);
    assert!(desk.changes.is_empty());
}

#[test]
fn a_slow_zone_whose_answers_come_is_not_left() {
    let mut desk = Desk::new(quick());
    desk.says(10_000.0, EAST, |_, _| Some((Reach::Well, false)));
    assert!(desk.changes.is_empty());
}

#[test]
fn a_second_zone_needs_the_operators_word_and_more_than_the_part_is_not_left() {
    let mut desk = Desk::new(quick());
    desk.says(4000.0, EAST, |_, home| {
        (home != EAST).then_some((Reach::Cut, false))
    });
    let mut second = desk.agreed.clone();
    assert_eq!(second.len(), 1);
    let answer = desk.watch.may_leave(desk.now, WEST, &second, false);
    assert!(
        matches!(answer, Err(Refused::TooMuch { part }) if part > 0.6),
        "{answer:?}"
    );
    // By hand it is asked whether the rest carries it, and the figures are told.
    let answer = desk.watch.may_leave(desk.now, WEST, &second, true);
    assert_eq!(answer, Ok(()));
    second.clear();
    let heavy = Definition {
        carry: 0.1,
        whole: 1.0,
        ..quick()
    };
    desk.watch.set(heavy);
    let answer = desk.watch.may_leave(desk.now, WEST, &second, true);
    assert!(
        matches!(answer, Err(Refused::NotCarried { load, room }) if load > room),
        "{answer:?}"
    );
}

#[test]
fn a_return_climbs_by_steps_and_ends_whole_in_the_stated_time() {
    let mut desk = Desk::new(quick());
    desk.says(5000.0, EAST, |_, home| {
        (home != EAST).then_some((Reach::Cut, false))
    });
    let from = desk.now;
    desk.says(30_000.0, EAST, |_, _| Some((Reach::Well, false)));
    assert_eq!(desk.stage(EAST), None, "{:?}", desk.changes);
    // Left, returns, eight steps, whole.
    assert_eq!(desk.changes.len(), 1 + 1 + 8 + 1);
    let numbers: Vec<u32> = desk
        .changes
        .iter()
        .filter_map(|c| c.to)
        .map(|to| to.number)
        .collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    let _ = from;
}

#[test]
fn answers_that_worsen_set_a_return_back_and_a_cut_ends_it() {
    let mut desk = Desk::new(quick());
    desk.says(5000.0, EAST, |_, home| {
        (home != EAST).then_some((Reach::Cut, false))
    });
    desk.says(7000.0, EAST, |_, _| Some((Reach::Well, false)));
    let step = desk.agreed[&EAST].step;
    assert!(step >= 2);
    for _ in 0..6 {
        desk.bad = desk.bad.wrapping_add(9);
        desk.says(250.0, EAST, |_, _| Some((Reach::Well, false)));
    }
    assert!(
        desk.agreed.get(&EAST).is_none_or(|known| known.step < step),
        "{:?}",
        desk.changes
    );
    desk.says(3000.0, EAST, |_, home| {
        (home != EAST).then_some((Reach::Cut, false))
    });
    assert_eq!(desk.stage(EAST), Some(Stage::Left));
}

#[test]
fn a_flapping_zone_is_held_out_longer_each_time_up_to_a_most() {
    for period in [3000.0, 10_000.0, 60_000.0] {
        let definition = Definition {
            hold: 2000.0,
            max_hold: 60_000.0,
            calm: 600_000.0,
            ..quick()
        };
        let mut desk = Desk::new(definition);
        for _ in 0..(400_000.0 / period) as usize {
            desk.says(period / 2.0, EAST, |_, home| {
                (home != EAST).then_some((Reach::Cut, false))
            });
            desk.says(period / 2.0, EAST, |_, _| Some((Reach::Well, false)));
        }
        let left = desk
            .changes
            .iter()
            .filter(|c| c.to.is_some_and(|to| to.stage == Stage::Left))
            .count();
        assert!(
            (1..=14).contains(&left),
            "left {left} times at a period of {period}"
        );
        // And it is whole in the end, once it stays well.
        desk.says(60_000.0 + 30_000.0, EAST, |_, _| Some((Reach::Well, false)));
        assert_eq!(desk.stage(EAST), None);
    }
}

// ---- Members ----

fn returns(step: u8, number: u32) -> Fleetwide {
    Fleetwide {
        stage: Stage::Returns,
        step,
        number,
        why: Why::Reached,
    }
}

#[test]
fn a_member_goes_by_what_it_heard_then_closes_then_judges_for_itself() {
    let mut guide = EvacuationFollower::new(WEST, 30_000.0, 0.0);
    // Just started: it knows nothing, and its own zone is its own.
    assert_eq!(
        (guide.of(100.0, EAST), guide.of(100.0, WEST)),
        (Use::Closed, Use::Own)
    );
    assert_eq!(guide.of(2600.0, EAST), Use::Own);
    guide.hears(3000.0, &[]);
    assert_eq!(guide.of(3000.0, EAST), Use::Own);
    guide.hears(4000.0, &[(EAST, returns(2, 7)), (WEST, returns(2, 8))]);
    assert_eq!(
        (guide.of(4000.0, EAST), guide.of(4000.0, WEST)),
        (Use::Closed, Use::Own)
    );
    guide.share(EAST, 7, 0.2, 3900.0, 3000.0, 0.0);
    assert_eq!(guide.of(4000.0, EAST), Use::Part(0.2));
    // An answer to what was asked before, come late, changes nothing.
    guide.share(EAST, 7, 0.9, 3000.0, 3000.0, 0.0);
    assert_eq!(guide.of(4000.0, EAST), Use::Part(0.2));
    // It was stopped, and wakes with an old share.
    assert_eq!(guide.of(24_000.0, EAST), Use::Closed);
    assert_eq!(guide.of(34_100.0, EAST), Use::Own);
    // A decision that was overtaken on its way does not come back.
    guide.hears(
        35_000.0,
        &[(
            EAST,
            Fleetwide {
                stage: Stage::Left,
                step: 0,
                number: 9,
                why: Why::Lost,
            },
        )],
    );
    guide.hears(35_100.0, &[(EAST, returns(2, 7))]);
    assert_eq!(guide.of(35_100.0, EAST), Use::Closed);
}

/// Members that ask for shares of a returning zone over a bad network, are stopped, killed and restarted; clocks run
/// apart. At every true instant what all believe to hold is at most the largest step of the last term.
fn shares_hold(seed: u64, members: usize, from_asking: bool) -> (f64, f64) {
    struct Member {
        guide: EvacuationFollower,
        rate: f64,
        demand: f64,
        stopped: f64,
        next: f64,
        waiting: Vec<(u32, f64, f64)>,
    }
    let definition = Definition {
        term: 3000.0,
        skew: 0.02,
        ..Definition::default()
    };
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut shares = RampQuotas::default();
    let mut all: Vec<Member> = (0..members)
        .map(|n| Member {
            guide: EvacuationFollower::new(WEST, 1e9, 0.0),
            rate: rng.random_range(0.991..1.009),
            // Some see ten times the mean.
            demand: if n % 10 == 0 {
                10.0
            } else {
                rng.random_range(0.0..2.0)
            },
            stopped: 0.0,
            next: rng.random_range(0.0..1000.0),
            waiting: Vec::new(),
        })
        .collect();
    // On its way: when it arrives, to whom (none: to the leader), number, asked at (own clock), share.
    let mut flying: Vec<(f64, usize, bool, u32, f64, f64)> = Vec::new();
    let (mut step, mut number, mut most, mut used, mut now) =
        (0_u8, 1_u32, Vec::new(), 0.0_f64, 0.0);
    let mut over = 0.0_f64;
    while now < 60_000.0 {
        now += 20.0;
        if rng.random_bool(0.004) {
            step = if rng.random_bool(0.3) {
                step / 2
            } else {
                (step + 1).min(8)
            };
            number += 1;
        }
        let (agreed, part) = (returns(step, number), definition.part(step));
        most.push((now, part));
        most.retain(|(at, _)| now - at <= definition.term * 1.06 + 20.0);
        let lossy = seed.is_multiple_of(2);
        for (n, member) in all.iter_mut().enumerate() {
            if rng.random_bool(0.0005) {
                member.stopped = now + rng.random_range(500.0..20_000.0);
            }
            if rng.random_bool(0.0003) {
                // Killed and started again, knowing nothing; its clock goes on.
                member.guide = EvacuationFollower::new(WEST, 1e9, now * member.rate);
                member.waiting.clear();
            }
            if now < member.stopped {
                continue;
            }
            let own = now * member.rate;
            for (of, share, asked) in std::mem::take(&mut member.waiting) {
                member.guide.hears(own, &[(EAST, returns(step, of))]);
                // Whoever counts a share's time from when it came, and not from when it was asked for, holds too long.
                let from = if from_asking { asked } else { own };
                member
                    .guide
                    .share(EAST, of, share, from, definition.term, definition.skew);
            }
            if now >= member.next {
                member.next = now + 1000.0;
                let late = if lossy && rng.random_bool(0.05) {
                    10_000.0
                } else {
                    rng.random_range(0.0..80.0)
                };
                if !(lossy && rng.random_bool(0.3)) {
                    flying.push((now + late, n, true, 0, own, 0.0));
                }
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = flying.into_iter().partition(|flight| flight.0 <= now);
        flying = rest;
        for (_, n, to_leader, of, asked, share) in due {
            if to_leader {
                let share = shares.asks(
                    now,
                    n as u64,
                    all[n].demand,
                    part,
                    definition.term,
                    definition.skew,
                );
                let late = if lossy && rng.random_bool(0.05) {
                    10_000.0
                } else {
                    rng.random_range(0.0..80.0)
                };
                flying.push((now + late, n, false, agreed.number, asked, share));
            } else {
                all[n].waiting.push((of, share, asked));
            }
        }
        let holds = |member: &Member| match member.guide.of(now * member.rate, EAST) {
            Use::Part(part) => part,
            _ => 0.0,
        };
        let sum: f64 = all.iter().map(holds).sum();
        let limit = most.iter().map(|(_, part)| *part).fold(0.0, f64::max);
        over = over.max(sum - limit);
        used = used.max(sum / part);
    }
    (over, used)
}

#[test]
fn what_all_members_hold_never_adds_up_to_more_than_the_step() {
    let mut best = 0.0_f64;
    for seed in 0..60 {
        let (over, used) = shares_hold(seed, if seed % 3 == 0 { 100 } else { 9 }, true);
        assert!(over <= 1e-9, "seed {seed}: {over} over");
        best = best.max(used);
    }
    // And the step is not left lying about.
    assert!(best > 0.8, "{best}");
}

#[test]
fn the_check_above_finds_members_that_count_their_time_from_the_answer() {
    assert!((0..10).any(|seed| shares_hold(seed, 9, false).0 > 1e-9));
}

#[test]
fn shares_follow_demand_and_what_is_not_used_returns() {
    let mut shares = RampQuotas::default();
    let mut last = [0.0; 3];
    for second in 0..20 {
        for (n, demand) in [10.0, 1.0, 1.0].into_iter().enumerate() {
            let now = f64::from(second) * 1000.0 + n as f64;
            last[n] = shares.asks(now, n as u64, demand, 0.5, 3000.0, 0.0);
        }
    }
    assert!(
        last[0] > 5.0 * last[1] && last.iter().sum::<f64>() > 0.45,
        "{last:?}"
    );
    // The first one died: the others have its share after a term and what follows it.
    let mut rest = [0.0; 2];
    for second in 20..40 {
        for (n, at) in [(1, 0), (2, 1)] {
            rest[at] = shares.asks(f64::from(second) * 1000.0, n, 1.0, 0.5, 3000.0, 0.0);
        }
    }
    assert!(rest.iter().sum::<f64>() > 0.45, "{rest:?}");
}

proptest! {
    #[test]
    fn no_bytes_make_the_readers_panic_and_what_is_written_is_read(bytes in proptest::collection::vec(any::<u8>(), 0..260), zone: u32, good: u16, threads in 0.0_f32..1e6) {
        let _ = wire::read(&bytes);
        let _ = wire::read_plan(&bytes);
        let evidence = Evidence { zone, reach: Reach::Climbing, threads, good, bad: 3 };
        let told = Told { session: 5, number: zone, alone: true, zones: vec![evidence; 3] };
        prop_assert_eq!(wire::read(&wire::write(&told)), Some(told));
        let plan = Plan { number: 4, zones: vec![(zone, returns(3, 9), threads)] };
        prop_assert_eq!(wire::read_plan(&wire::write_plan(&plan)), Some(plan));
        let most = Told { zones: vec![evidence; 99], ..Told::default() };
        prop_assert!(wire::write(&most).len() <= 200);
    }

    #[test]
    fn shares_given_in_any_order_never_add_up_to_more(asks in proptest::collection::vec((0_u64..6, 0.0_f64..10.0, 0.0_f64..900.0), 1..200), all in 0.05_f64..1.0) {
        let (mut shares, mut now) = (RampQuotas::default(), 0.0);
        for (id, demand, passed) in asks {
            now += passed;
            let share = shares.asks(now, id, demand, all, 3000.0, 0.02);
            prop_assert!(share >= 0.0 && shares.out() <= all + 1e-9);
        }
    }
}
