//! Fleets in virtual time: the hard cases of turns, drains and releases. Clocks run up to 1% apart in all of them, and
//! another one is read after each restart.

use tansymux_coordination::limits::Halt;
use tansymux_coordination::Stage;
use tansymux_rollout::message::Answer;
use tansymux_testbed::fleet::run_seeds;
use tansymux_testbed::fleet::scenario::{Event, Fault, LinkConditions, Scenario, NAMES};
use tansymux_testbed::fleet::virtual_fleet::{told, Served, VirtualFleet};

fn holds(seeds: std::ops::Range<u64>, scenario: impl Fn(u64) -> Scenario + Sync) {
    let (table, broken) = run_seeds(seeds, scenario, false, false);
    assert!(!broken, "{table}");
}

fn world(scenario: Scenario) -> VirtualFleet {
    let told = told(&scenario);
    VirtualFleet::new(scenario, told, Served::default())
}

#[test]
fn a_calm_release_ends_with_all_released_and_never_more_out_than_the_limit() {
    for members in [1, 3, 7, 30] {
        holds(1..4, |seed| Scenario::calm(seed, members));
    }
}

#[test]
fn all_faults_mixed_never_put_more_out_than_the_limit_and_the_release_ends() {
    holds(0..150, |seed| Scenario::mixed(seed, 5));
    holds(0..60, |seed| Scenario::mixed(seed, 12));
}

#[test]
fn each_hard_case_of_the_processes_holds_in_virtual_time_too() {
    for name in NAMES {
        holds(0..40, |seed| Scenario::named(name, seed).unwrap());
    }
}

#[test]
fn messages_lost_doubled_in_disorder_and_late_all_the_time_only_make_it_slower() {
    holds(0..40, |seed| Scenario {
        events: vec![Event {
            at: 0.0,
            what: Fault::Links(LinkConditions::BAD),
        }],
        ..Scenario::calm(seed, 7)
    });
}

#[test]
fn without_agreement_the_same_scenario_breaks_the_limit() {
    // That the check above can fail.
    let (table, broken) = run_seeds(0..10, |seed| Scenario::calm(seed, 12), true, false);
    assert!(broken && table.contains("over the limit 10"), "{table}");
}

#[test]
fn of_two_releases_at_once_one_is_told_that_the_other_runs() {
    let mut world = world(Scenario::calm(3, 5));
    world.release_too(4, 99);
    world.plays(|_| false);
    let running = world
        .answers
        .iter()
        .filter(|a| matches!(a, Answer::Running { .. }))
        .count();
    let done = world
        .answers
        .iter()
        .filter(|a| matches!(a, Answer::Done))
        .count();
    assert!(running == 1 && done >= 1, "{:?}", world.answers);
}

#[test]
fn a_halt_that_only_a_cut_off_part_hears_is_not_told_as_done_and_the_rest_halts_for_its_losses() {
    let mut scenario = Scenario::calm(5, 5);
    scenario.events = vec![
        Event {
            at: 500.0,
            what: Fault::Cut {
                side: vec![3, 4],
                one_way: false,
            },
        },
        Event {
            at: 900.0,
            what: Fault::Halt { at: 3 },
        },
    ];
    (scenario.done_within, scenario.lasts) = (0.0, 60_000.0);
    let mut told = told(&scenario);
    told.plan.lost = 1;
    let mut world = VirtualFleet::new(scenario, told, Served::default());
    world.resumes = false;
    world.plays(|_| false);
    assert!(
        world.answers.contains(&Answer::NoLeader),
        "{:?}",
        world.answers
    );
    assert!(
        matches!(world.halted(), Some(Halt::Lost | Halt::UsedUp)),
        "{}",
        world.kept()
    );
    assert!(
        world.seen.released < 3 && world.seen.broken.is_empty(),
        "{}",
        world.seen.line()
    );
}

#[test]
fn a_limit_lowered_below_what_is_out_lets_nobody_more_out_and_calls_nobody_back() {
    holds(0..30, |seed| Scenario {
        most: 4,
        events: vec![Event {
            at: 2500.0,
            what: Fault::Limit { most: 1 },
        }],
        ..Scenario::calm(seed, 12)
    });
}

/// A release whose new version does worse: with this load, from then on.
fn worse(seed: u64, rate: f64, new: f64, worse_from: f64, untold: bool) -> VirtualFleet {
    let mut scenario = Scenario::calm(seed, 10);
    (scenario.done_within, scenario.lasts) = (0.0, 120_000.0);
    let mut told = told(&scenario);
    told.plan.goes_on_untold = untold;
    told.plan.canary = 14_000.0;
    let mut world = VirtualFleet::new(
        scenario,
        told,
        Served {
            old: 0.98,
            new,
            rate,
            worse_from,
        },
    );
    world.resumes = false;
    world
}

#[test]
fn a_bad_canary_halts_the_release_and_the_way_back_leaves_all_as_they_were() {
    for seed in 0..5 {
        let mut world = worse(seed, 40.0, 0.7, 0.0, true);
        world.plays(|world| world.halted().is_some());
        assert_eq!(world.halted(), Some(Halt::Worse), "{}", world.seen.line());
        assert!(
            world.seen.halted.unwrap() < 40_000.0,
            "{}",
            world.seen.line()
        );
        assert!(world.goes_back(60_000.0), "{}", world.kept());
        assert_eq!(world.stage(), Some(Stage::Undone));
        assert!(world.seen.broken.is_empty());
    }
}

#[test]
fn a_version_that_is_bad_only_under_load_halts_in_its_waves() {
    for seed in 0..5 {
        // It is good while the first few are looked at, and bad once the load has come.
        let mut world = worse(seed, 40.0, 0.7, 35_000.0, true);
        world.plays(|world| world.halted().is_some());
        assert_eq!(world.halted(), Some(Halt::Worse), "{}", world.seen.line());
        assert_eq!(world.stage(), Some(Stage::Waves));
    }
}

#[test]
fn a_good_version_is_not_halted() {
    let worse_ones = (0..20).filter(|seed| {
        let mut world = worse(*seed, 40.0, 0.98, 0.0, true);
        world.plays(|_| false);
        world.halted().is_some()
    });
    assert!(worse_ones.count() <= 1);
}

#[test]
fn first_ones_that_are_too_few_to_tell_halt_it_unless_it_may_go_on_untold() {
    let mut world = worse(1, 0.0, 0.5, 0.0, false);
    world.plays(|world| world.halted().is_some());
    assert_eq!(
        (world.halted(), world.stage()),
        (Some(Halt::CantTell), Some(Stage::Canaries))
    );
    let mut world = worse(1, 0.0, 0.5, 0.0, true);
    world.plays(|world| world.stage() == Some(Stage::Waves));
    assert_eq!((world.halted(), world.stage()), (None, Some(Stage::Waves)));
}

#[test]
fn with_no_majority_left_nobody_goes_out_and_whoever_waits_gives_up() {
    let mut scenario = Scenario::calm(2, 5);
    scenario.events = (0..3)
        .map(|who| Event {
            at: 300.0,
            what: Fault::Kill { who, back: 1e9 },
        })
        .collect();
    (scenario.done_within, scenario.lasts) = (0.0, 50_000.0);
    let mut world = world(scenario);
    world.plays(|_| false);
    assert!(
        world.given_up > 0 && world.seen.max_out <= 1 && world.seen.released <= 1,
        "{}",
        world.seen.line()
    );
}

#[test]
fn a_fleet_that_grows_from_three_to_thirty_in_the_release_ends_it_within_its_limit() {
    for seed in 0..3 {
        let mut world = world(Scenario {
            voters: 3,
            ..Scenario::calm(seed, 30)
        });
        world.joins_late(3, 4000.0);
        world.plays(|_| false);
        assert!(world.seen.broken.is_empty(), "{}", world.seen.line());
    }
}

#[test]
fn a_fleet_that_shrinks_to_one_voter_goes_on_once_the_others_are_known_to_stay_away() {
    let mut scenario = Scenario {
        voters: 1,
        ..Scenario::calm(4, 4)
    };
    (scenario.done_within, scenario.lasts) = (0.0, 40_000.0);
    let mut world = world(scenario);
    world.dies_before(&[1, 2, 3]);
    world.plays(|_| false);
    // Three are lost and the limit is one: the last one has no turn.
    assert!(
        world.seen.released == 0 && world.seen.max_out <= 1,
        "{}",
        world.seen.line()
    );
    world.forgets(&[1, 2, 3]);
    world.runs_on(60_000.0);
    assert_eq!(world.released_now(), 1, "{}", world.kept());
}
