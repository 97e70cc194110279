//! The controller's assessments and decisions, the quotas that members may hold, and members that do not hear the
//! leader.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use tansymux_zone_evacuation::codec::{self, LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::{
    Config, Decision, EvacuationController, EvacuationFollower, EvacuationRefused, Evidence,
    FollowerEvent, Initiator, MemberPresence, MemberReport, QuotaGrant, QuotaRequest, RampQuotas,
    Reachability, Reason, Stage, ZoneHealth, ZoneId, ZoneStatus, ZoneUse,
};

const EAST: u32 = 1;
const WEST: u32 = 2;
const NORTH: u32 = 3;

/// A leader's controller, what the fleet agreed on, and a clock.
struct Leader {
    controller: EvacuationController,
    agreed: BTreeMap<u32, ZoneStatus>,
    now: f64,
    changes: Vec<Decision>,
    successes: u16,
    failures: u16,
}

impl Leader {
    fn new(config: Config) -> Self {
        let mut controller = EvacuationController::new(config);
        controller.set_capacity(&[(EAST, 32.0), (WEST, 32.0), (NORTH, 32.0)]);
        Leader {
            controller,
            agreed: BTreeMap::new(),
            now: 1e6,
            changes: Vec::new(),
            successes: 0,
            failures: 0,
        }
    }

    /// Nine members, three in each zone, report for `ms` how they reach one zone: reachability and whether they are
    /// isolated.
    fn receive_reports(
        &mut self,
        ms: f64,
        zone: u32,
        reach: impl Fn(u64, u32) -> Option<(Reachability, bool)>,
    ) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 250.0;
            self.successes = self.successes.wrapping_add(1);
            let home = |id: u64| [EAST, WEST, NORTH][(id % 3) as usize];
            self.controller.set_members((0..9).map(|id| MemberPresence {
                id,
                zone: home(id),
                is_present: true,
            }));
            for id in 0..9 {
                let Some((reachability, is_isolated)) = reach(id, home(id)) else {
                    continue;
                };
                let evidence = |of| Evidence {
                    zone: of,
                    reachability: if of == zone {
                        reachability
                    } else {
                        Reachability::Reachable
                    },
                    threads: 2.0,
                    successes: self.successes,
                    failures: if of == zone { self.failures } else { 0 },
                };
                let zones = [EAST, WEST, NORTH].map(evidence).to_vec();
                let report = MemberReport {
                    session: 1,
                    sequence_number: 1,
                    is_isolated,
                    zones,
                };
                self.controller.handle_report(id, &report, self.now);
            }
            for decision in self.controller.evaluate(&self.agreed, self.now) {
                match decision.status {
                    Some(status) => drop(self.agreed.insert(decision.zone, status)),
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

fn with_short_steps() -> Config {
    Config {
        ramp_step_ms: 1000.0,
        ..Config::default()
    }
}

#[test]
fn zone_without_witnesses_inside_or_outside_is_lost_and_evacuated_once() {
    let mut leader = Leader::new(with_short_steps());
    leader.receive_reports(5000.0, EAST, |_, home| {
        (home != EAST).then_some((Reachability::Unreachable, false))
    });
    assert_eq!(leader.controller.assess(EAST, leader.now), ZoneHealth::Lost);
    assert_eq!(
        (leader.changes.len(), leader.stage(EAST)),
        (1, Some(Stage::Evacuated))
    );
}

#[test]
fn new_leader_keeps_the_capacity_of_the_endpoint_list() {
    let mut leader = Leader::new(with_short_steps());
    leader.controller.clear();
    leader.receive_reports(5000.0, EAST, |_, home| {
        (home != EAST).then_some((Reachability::Unreachable, false))
    });
    assert_eq!(leader.stage(EAST), Some(Stage::Evacuated));
}

#[test]
fn members_inside_an_unreached_zone_show_that_it_is_cut_off() {
    let mut leader = Leader::new(with_short_steps());
    leader.receive_reports(5000.0, EAST, |_, home| {
        Some((
            if home == EAST {
                Reachability::Reachable
            } else {
                Reachability::Unreachable
            },
            false,
        ))
    });
    assert_eq!(
        leader.controller.assess(EAST, leader.now),
        ZoneHealth::CutOff
    );
    assert_eq!(leader.agreed[&EAST].reason, Reason::CutOff);
}

#[test]
fn zone_unreached_by_a_few_members_is_not_evacuated() {
    let mut leader = Leader::new(with_short_steps());
    leader.receive_reports(8000.0, EAST, |id, home| {
        Some((
            if home != EAST && id < 4 {
                Reachability::Unreachable
            } else {
                Reachability::Reachable
            },
            false,
        ))
    });
    assert_eq!(
        leader.controller.assess(EAST, leader.now),
        ZoneHealth::PartlyUnreachable
    );
    assert!(leader.changes.is_empty());
}

#[test]
fn isolated_members_and_members_without_evidence_do_not_count_as_witnesses() {
    let mut leader = Leader::new(with_short_steps());
    // One outside is well, four are alone and say cut, one has seen nothing.
    leader.receive_reports(6000.0, EAST, |id, home| match (home, id) {
        (EAST, _) => Some((Reachability::Reachable, false)),
        (_, 1) => Some((Reachability::Unknown, false)),
        (_, 2) => Some((Reachability::Reachable, false)),
        _ => Some((Reachability::Unreachable, true)),
    });
    assert!(leader.changes.is_empty(), "{:?}", leader.changes);
    // Only one in six knows: too few to conclude.
    let mut leader = Leader::new(with_short_steps());
    leader.receive_reports(6000.0, EAST, |id, _| {
        (id == 1).then_some((Reachability::Unreachable, false))
    });
    assert_eq!(
        leader.controller.assess(EAST, leader.now),
        ZoneHealth::Unknown
    );
    assert!(leader.changes.is_empty());
}

#[test]
fn slow_zone_that_answers_is_not_evacuated() {
    let mut leader = Leader::new(with_short_steps());
    leader.receive_reports(10_000.0, EAST, |_, _| {
        Some((Reachability::Reachable, false))
    });
    assert!(leader.changes.is_empty());
}

#[test]
fn second_zone_and_too_many_cores_need_an_operator_and_enough_capacity() {
    let mut leader = Leader::new(with_short_steps());
    leader.receive_reports(4000.0, EAST, |_, home| {
        (home != EAST).then_some((Reachability::Unreachable, false))
    });
    let mut second = leader.agreed.clone();
    assert_eq!(second.len(), 1);
    let answer =
        leader
            .controller
            .check_evacuation(WEST, &second, Initiator::Controller, leader.now);
    assert!(
        matches!(answer, Err(EvacuationRefused::TooManyCores { fraction }) if fraction > 0.6),
        "{answer:?}"
    );
    // By hand it is asked whether the rest carries it, and the figures are told.
    let answer = leader
        .controller
        .check_evacuation(WEST, &second, Initiator::Operator, leader.now);
    assert_eq!(answer, Ok(()));
    second.clear();
    let heavy = Config {
        spill_capacity_fraction: 0.1,
        full_threads_per_core: 1.0,
        ..with_short_steps()
    };
    leader.controller.set_config(heavy);
    let answer = leader
        .controller
        .check_evacuation(WEST, &second, Initiator::Operator, leader.now);
    assert!(
        matches!(answer, Err(EvacuationRefused::InsufficientCapacity { load_threads, capacity_threads }) if load_threads > capacity_threads),
        "{answer:?}"
    );
}

#[test]
fn return_advances_step_by_step_to_full_use_within_its_time() {
    let mut leader = Leader::new(with_short_steps());
    leader.receive_reports(5000.0, EAST, |_, home| {
        (home != EAST).then_some((Reachability::Unreachable, false))
    });
    leader.receive_reports(30_000.0, EAST, |_, _| {
        Some((Reachability::Reachable, false))
    });
    assert_eq!(leader.stage(EAST), None, "{:?}", leader.changes);
    // Left, returns, eight steps, whole.
    assert_eq!(leader.changes.len(), 1 + 1 + 8 + 1);
    let numbers: Vec<u32> = leader
        .changes
        .iter()
        .filter_map(|decision| decision.status)
        .map(|status| status.decision_number)
        .collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn failures_set_a_return_back_and_losing_the_zone_ends_it() {
    let mut leader = Leader::new(with_short_steps());
    leader.receive_reports(5000.0, EAST, |_, home| {
        (home != EAST).then_some((Reachability::Unreachable, false))
    });
    leader.receive_reports(7000.0, EAST, |_, _| Some((Reachability::Reachable, false)));
    let step = leader.agreed[&EAST].step;
    assert!(step >= 2);
    for _ in 0..6 {
        leader.failures = leader.failures.wrapping_add(9);
        leader.receive_reports(250.0, EAST, |_, _| Some((Reachability::Reachable, false)));
    }
    assert!(
        leader
            .agreed
            .get(&EAST)
            .is_none_or(|known| known.step < step),
        "{:?}",
        leader.changes
    );
    leader.receive_reports(3000.0, EAST, |_, home| {
        (home != EAST).then_some((Reachability::Unreachable, false))
    });
    assert_eq!(leader.stage(EAST), Some(Stage::Evacuated));
}

#[test]
fn flapping_zone_stays_evacuated_longer_each_time_up_to_a_limit() {
    for period in [3000.0, 10_000.0, 60_000.0] {
        let config = Config {
            min_evacuation_ms: 2000.0,
            max_evacuation_ms: 60_000.0,
            flap_window_ms: 600_000.0,
            ..with_short_steps()
        };
        let mut leader = Leader::new(config);
        for _ in 0..(400_000.0 / period) as usize {
            leader.receive_reports(period / 2.0, EAST, |_, home| {
                (home != EAST).then_some((Reachability::Unreachable, false))
            });
            leader.receive_reports(period / 2.0, EAST, |_, _| {
                Some((Reachability::Reachable, false))
            });
        }
        let left = leader
            .changes
            .iter()
            .filter(|decision| {
                decision
                    .status
                    .is_some_and(|status| status.stage == Stage::Evacuated)
            })
            .count();
        assert!(
            (1..=14).contains(&left),
            "left {left} times at a period of {period}"
        );
        // And it is whole in the end, once it stays well.
        leader.receive_reports(60_000.0 + 30_000.0, EAST, |_, _| {
            Some((Reachability::Reachable, false))
        });
        assert_eq!(leader.stage(EAST), None);
    }
}

// ---- Members ----

fn returns(step: u8, number: u32) -> ZoneStatus {
    ZoneStatus {
        stage: Stage::Recovering,
        step,
        decision_number: number,
        reason: Reason::Reached,
    }
}

/// A quota under decision 7, with a term of 3 s and no clock skew.
fn quota_of_east(quota: f64, requested_ms: f64) -> FollowerEvent<'static> {
    FollowerEvent::QuotaReceived(QuotaGrant {
        zone: EAST,
        decision_number: 7,
        quota,
        requested_ms,
        term_ms: 3000.0,
        clock_skew: 0.0,
    })
}

#[test]
fn follower_uses_its_last_decisions_then_closes_then_decides_locally() {
    let mut follower = EvacuationFollower::new(WEST, 30_000.0, 0.0);
    // Just started: it knows nothing, and its own zone is its own.
    assert_eq!(
        (
            follower.zone_use(EAST, 100.0),
            follower.zone_use(WEST, 100.0)
        ),
        (ZoneUse::Closed, ZoneUse::LocalDecision)
    );
    assert_eq!(follower.zone_use(EAST, 2600.0), ZoneUse::LocalDecision);
    follower.handle(FollowerEvent::DecisionsReceived(&[]), 3000.0);
    assert_eq!(follower.zone_use(EAST, 3000.0), ZoneUse::LocalDecision);
    follower.handle(
        FollowerEvent::DecisionsReceived(&[(EAST, returns(2, 7)), (WEST, returns(2, 8))]),
        4000.0,
    );
    assert_eq!(
        (
            follower.zone_use(EAST, 4000.0),
            follower.zone_use(WEST, 4000.0)
        ),
        (ZoneUse::Closed, ZoneUse::LocalDecision)
    );
    follower.handle(quota_of_east(0.2, 3900.0), 4000.0);
    assert_eq!(follower.zone_use(EAST, 4000.0), ZoneUse::Fraction(0.2));
    // An answer to what was asked before, come late, changes nothing.
    follower.handle(quota_of_east(0.9, 3000.0), 4000.0);
    assert_eq!(follower.zone_use(EAST, 4000.0), ZoneUse::Fraction(0.2));
    // It was stopped, and wakes with an old share.
    assert_eq!(follower.zone_use(EAST, 24_000.0), ZoneUse::Closed);
    assert_eq!(follower.zone_use(EAST, 34_100.0), ZoneUse::LocalDecision);
    // A decision that was overtaken on its way does not come back.
    let evacuated = ZoneStatus {
        stage: Stage::Evacuated,
        step: 0,
        decision_number: 9,
        reason: Reason::Lost,
    };
    follower.handle(
        FollowerEvent::DecisionsReceived(&[(EAST, evacuated)]),
        35_000.0,
    );
    follower.handle(
        FollowerEvent::DecisionsReceived(&[(EAST, returns(2, 7))]),
        35_100.0,
    );
    assert_eq!(follower.zone_use(EAST, 35_100.0), ZoneUse::Closed);
}

/// Members request quotas of a returning zone over a lossy network, are paused, killed and restarted; their clocks run
/// at different rates. Returns by how much the sum of what they believe to hold ever exceeded the largest ramp step of
/// the last term, and the largest fraction of a step that was in use. `from_asking`: terms count from the request.
fn quota_overrun(seed: u64, members: usize, from_asking: bool) -> (f64, f64) {
    struct Member {
        follower: EvacuationFollower,
        rate: f64,
        demand: f64,
        stopped: f64,
        next: f64,
        waiting: Vec<(u32, f64, f64)>,
    }
    let config = Config {
        quota_term_ms: 3000.0,
        clock_skew: 0.02,
        ..Config::default()
    };
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut quotas = RampQuotas::default();
    let mut all: Vec<Member> = (0..members)
        .map(|n| Member {
            follower: EvacuationFollower::new(WEST, 1e9, 0.0),
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
        let (agreed, part) = (returns(step, number), config.ramp_fraction(step));
        most.push((now, part));
        most.retain(|(at, _)| now - at <= config.quota_term_ms * 1.06 + 20.0);
        let lossy = seed.is_multiple_of(2);
        for (n, member) in all.iter_mut().enumerate() {
            if rng.random_bool(0.0005) {
                member.stopped = now + rng.random_range(500.0..20_000.0);
            }
            if rng.random_bool(0.0003) {
                // Killed and started again, knowing nothing; its clock goes on.
                member.follower = EvacuationFollower::new(WEST, 1e9, now * member.rate);
                member.waiting.clear();
            }
            if now < member.stopped {
                continue;
            }
            let own = now * member.rate;
            for (of, share, asked) in std::mem::take(&mut member.waiting) {
                let statuses = [(EAST, returns(step, of))];
                let decisions = FollowerEvent::DecisionsReceived(&statuses);
                member.follower.handle(decisions, own);
                // Whoever counts a share's time from when it came, and not from when it was asked for, holds too long.
                let from = if from_asking { asked } else { own };
                let grant = QuotaGrant {
                    zone: EAST,
                    decision_number: of,
                    quota: share,
                    requested_ms: from,
                    term_ms: config.quota_term_ms,
                    clock_skew: config.clock_skew,
                };
                member
                    .follower
                    .handle(FollowerEvent::QuotaReceived(grant), own);
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
                let request = QuotaRequest {
                    member: n as u64,
                    demand: all[n].demand,
                    total: part,
                    term_ms: config.quota_term_ms,
                    clock_skew: config.clock_skew,
                };
                let share = quotas.request(&request, now);
                let late = if lossy && rng.random_bool(0.05) {
                    10_000.0
                } else {
                    rng.random_range(0.0..80.0)
                };
                flying.push((now + late, n, false, agreed.decision_number, asked, share));
            } else {
                all[n].waiting.push((of, share, asked));
            }
        }
        let holds = |member: &Member| match member.follower.zone_use(EAST, now * member.rate) {
            ZoneUse::Fraction(part) => part,
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
fn quotas_held_by_all_members_never_exceed_the_ramp_step() {
    let mut best = 0.0_f64;
    for seed in 0..60 {
        let (over, used) = quota_overrun(seed, if seed % 3 == 0 { 100 } else { 9 }, true);
        assert!(over <= 1e-9, "seed {seed}: {over} over");
        best = best.max(used);
    }
    // And the step is not left lying about.
    assert!(best > 0.8, "{best}");
}

#[test]
fn quota_check_detects_members_that_count_their_term_from_the_answer() {
    assert!((0..10).any(|seed| quota_overrun(seed, 9, false).0 > 1e-9));
}

/// A request where all members together may hold half, with a term of 3 s and no clock skew.
fn request_of_half(member: u64, demand: f64) -> QuotaRequest {
    QuotaRequest {
        member,
        demand,
        total: 0.5,
        term_ms: 3000.0,
        clock_skew: 0.0,
    }
}

#[test]
fn quotas_follow_demand_and_unused_quota_is_granted_again() {
    let mut quotas = RampQuotas::default();
    let mut last = [0.0; 3];
    for second in 0..20 {
        for (n, demand) in [10.0, 1.0, 1.0].into_iter().enumerate() {
            let now = f64::from(second) * 1000.0 + n as f64;
            last[n] = quotas.request(&request_of_half(n as u64, demand), now);
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
            let now = f64::from(second) * 1000.0;
            rest[at] = quotas.request(&request_of_half(n, 1.0), now);
        }
    }
    assert!(rest.iter().sum::<f64>() > 0.45, "{rest:?}");
}

proptest! {
    #[test]
    fn no_input_bytes_make_the_decoders_panic_and_encoded_values_are_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..260), zone: ZoneId, successes: u16, threads in 0.0_f32..1e6) {
        let _ = codec::decode_report(&bytes);
        let _ = codec::decode_reply(&bytes);
        let evidence = Evidence { zone, reachability: Reachability::Recovering, threads, successes, failures: 3 };
        let report = MemberReport { session: 5, sequence_number: zone, is_isolated: true, zones: vec![evidence; 3] };
        prop_assert_eq!(codec::decode_report(&codec::encode_report(&report)), Ok(report));
        let entry = ZoneEntry { zone, status: returns(3, 9), quota: threads };
        let reply = LeaderReply { sequence_number: 4, zones: vec![entry] };
        prop_assert_eq!(codec::decode_reply(&codec::encode_reply(&reply)), Ok(reply));
        let longest = MemberReport { zones: vec![evidence; 99], ..MemberReport::default() };
        prop_assert!(codec::encode_report(&longest).len() <= 200);
    }

    #[test]
    fn quotas_requested_in_any_order_never_exceed_the_total(asks in proptest::collection::vec((0_u64..6, 0.0_f64..10.0, 0.0_f64..900.0), 1..200), all in 0.05_f64..1.0) {
        let (mut quotas, mut now) = (RampQuotas::default(), 0.0);
        for (id, demand, passed) in asks {
            now += passed;
            let request = QuotaRequest { member: id, demand, total: all, term_ms: 3000.0, clock_skew: 0.02 };
            let share = quotas.request(&request, now);
            prop_assert!(share >= 0.0 && quotas.granted_total() <= all + 1e-9);
        }
    }
}
