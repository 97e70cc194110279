//! Fleets in virtual time: restart leases, drains and releases under faults. In all tests the rates of the members'
//! clocks differ by up to 1%, and a restarted process has a different clock.

use tansymux_coordination::disruption_budget::HaltReason;
use tansymux_coordination::ReleaseStage;
use tansymux_rollout::message::Answer;
use tansymux_testbed::fleet::scenario::{Event, Fault, LinkConditions, Scenario, NAMES};
use tansymux_testbed::fleet::virtual_fleet::{fleet_definition, VersionQuality, VirtualFleet};
use tansymux_testbed::fleet::{run_seeds, RunOptions, RunsOutcome};

fn assert_runs_pass(seeds: std::ops::Range<u64>, scenario: impl Fn(u64) -> Scenario + Sync) {
    let outcome = run_seeds(seeds, scenario, RunOptions::default());
    assert!(!outcome.failed, "{}", outcome.table);
}

fn virtual_fleet(scenario: Scenario) -> VirtualFleet {
    let definition = fleet_definition(&scenario);
    VirtualFleet::new(scenario, definition, VersionQuality::default())
}

#[test]
fn a_release_without_faults_completes_within_the_limit() {
    for members in [1, 3, 7, 30] {
        assert_runs_pass(1..4, |seed| Scenario::calm(seed, members));
    }
}

#[test]
fn a_release_under_mixed_faults_completes_within_the_limit() {
    assert_runs_pass(0..150, |seed| Scenario::mixed(seed, 5));
    assert_runs_pass(0..60, |seed| Scenario::mixed(seed, 12));
}

#[test]
fn each_named_scenario_passes_in_virtual_time() {
    for name in NAMES {
        assert_runs_pass(0..40, |seed| Scenario::named(name, seed).unwrap());
    }
}

#[test]
fn a_release_completes_on_links_that_lose_duplicate_reorder_and_delay() {
    assert_runs_pass(0..40, |seed| Scenario {
        events: vec![Event {
            at: 0.0,
            what: Fault::Links(LinkConditions::BAD),
        }],
        ..Scenario::calm(seed, 7)
    });
}

#[test]
fn uncoordinated_restarts_exceed_the_limit_in_every_run() {
    // Proves that the check in `assert_runs_pass` can fail.
    let uncoordinated = RunOptions {
        uncoordinated: true,
        ..RunOptions::default()
    };
    let RunsOutcome { table, failed } =
        run_seeds(0..10, |seed| Scenario::calm(seed, 12), uncoordinated);
    assert!(failed && table.contains("over the limit 10"), "{table}");
}

#[test]
fn of_two_concurrent_releases_one_is_refused_because_the_other_runs() {
    let mut fleet = virtual_fleet(Scenario::calm(3, 5));
    fleet.request_second_release(4, 99);
    fleet.run_until(|_| false);
    let refused = fleet
        .answers()
        .iter()
        .filter(|answer| matches!(answer, Answer::ReleaseInProgress { .. }))
        .count();
    let done = fleet
        .answers()
        .iter()
        .filter(|answer| matches!(answer, Answer::Done))
        .count();
    assert!(refused == 1 && done >= 1, "{:?}", fleet.answers());
}

#[test]
fn a_halt_in_a_partition_without_leader_is_not_confirmed_and_the_rest_halts_for_lost_members() {
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
    scenario.done_within = 0.0;
    scenario.lasts = 60_000.0;
    let mut definition = fleet_definition(&scenario);
    definition.plan.max_lost_members = 1;
    let mut fleet = VirtualFleet::new(scenario, definition, VersionQuality::default());
    fleet.set_operators_resume(false);
    fleet.run_until(|_| false);
    assert!(
        fleet.answers().contains(&Answer::NoLeader),
        "{:?}",
        fleet.answers()
    );
    assert!(
        matches!(
            fleet.halt_reason(),
            Some(HaltReason::MembersLost | HaltReason::BudgetExhausted)
        ),
        "{}",
        fleet.diagnostics()
    );
    assert!(
        fleet.report().released < 3 && fleet.report().violations.is_empty(),
        "{}",
        fleet.report().line()
    );
}

#[test]
fn no_lease_is_granted_above_a_limit_that_was_lowered_during_the_release() {
    assert_runs_pass(0..30, |seed| Scenario {
        max_out: 4,
        events: vec![Event {
            at: 2500.0,
            what: Fault::Limit { max_out: 1 },
        }],
        ..Scenario::calm(seed, 12)
    });
}

/// A release to a version that is degraded from `degraded_after_ms` after the start of the release, under a load of
/// `requests_per_s` to each member.
fn degraded_release(
    seed: u64,
    requests_per_s: f64,
    new_success: f64,
    degraded_after_ms: f64,
    continue_if_inconclusive: bool,
) -> VirtualFleet {
    let mut scenario = Scenario::calm(seed, 10);
    scenario.done_within = 0.0;
    scenario.lasts = 120_000.0;
    let mut definition = fleet_definition(&scenario);
    definition.plan.continue_if_inconclusive = continue_if_inconclusive;
    definition.plan.canary_observation_ms = 14_000.0;
    let quality = VersionQuality {
        old_success: 0.98,
        new_success,
        requests_per_s,
        degraded_after_ms,
    };
    let mut fleet = VirtualFleet::new(scenario, definition, quality);
    fleet.set_operators_resume(false);
    fleet
}

#[test]
fn a_bad_canary_halts_the_release_and_a_rollback_restores_all_members() {
    for seed in 0..5 {
        let mut fleet = degraded_release(seed, 40.0, 0.7, 0.0, true);
        fleet.run_until(|fleet| fleet.halt_reason().is_some());
        assert_eq!(
            fleet.halt_reason(),
            Some(HaltReason::CanaryWorse),
            "{}",
            fleet.report().line()
        );
        assert!(
            fleet.report().halted_after_ms.unwrap() < 40_000.0,
            "{}",
            fleet.report().line()
        );
        assert!(fleet.roll_back(60_000.0), "{}", fleet.diagnostics());
        assert_eq!(fleet.stage(), Some(ReleaseStage::RolledBack));
        assert!(fleet.report().violations.is_empty());
    }
}

#[test]
fn a_version_that_degrades_during_the_waves_is_halted() {
    for seed in 0..5 {
        // The version is good while the canaries are observed and degrades 35 s after the start, during the waves, like
        // a version that fails only under load.
        let mut fleet = degraded_release(seed, 40.0, 0.7, 35_000.0, true);
        fleet.run_until(|fleet| fleet.halt_reason().is_some());
        assert_eq!(
            fleet.halt_reason(),
            Some(HaltReason::CanaryWorse),
            "{}",
            fleet.report().line()
        );
        assert_eq!(fleet.stage(), Some(ReleaseStage::Waves));
    }
}

#[test]
fn a_good_version_is_halted_in_at_most_one_of_20_runs() {
    let halted_runs = (0..20).filter(|seed| {
        let mut fleet = degraded_release(*seed, 40.0, 0.98, 0.0, true);
        fleet.run_until(|_| false);
        fleet.halt_reason().is_some()
    });
    assert!(halted_runs.count() <= 1);
}

#[test]
fn canaries_with_too_few_requests_halt_the_release_unless_it_may_proceed_undecided() {
    let mut fleet = degraded_release(1, 0.0, 0.5, 0.0, false);
    fleet.run_until(|fleet| fleet.halt_reason().is_some());
    assert_eq!(
        (fleet.halt_reason(), fleet.stage()),
        (Some(HaltReason::Inconclusive), Some(ReleaseStage::Canaries))
    );
    let mut fleet = degraded_release(1, 0.0, 0.5, 0.0, true);
    fleet.run_until(|fleet| fleet.stage() == Some(ReleaseStage::Waves));
    assert_eq!(
        (fleet.halt_reason(), fleet.stage()),
        (None, Some(ReleaseStage::Waves))
    );
}

#[test]
fn without_a_majority_of_voters_no_lease_is_granted_and_waiting_supervisors_give_up() {
    let mut scenario = Scenario::calm(2, 5);
    scenario.events = (0..3)
        .map(|who| Event {
            at: 300.0,
            what: Fault::Kill { who, back: 1e9 },
        })
        .collect();
    scenario.done_within = 0.0;
    scenario.lasts = 50_000.0;
    let mut fleet = virtual_fleet(scenario);
    fleet.run_until(|_| false);
    assert!(
        fleet.abandoned_waits() > 0 && fleet.report().max_out <= 1 && fleet.report().released <= 1,
        "{}",
        fleet.report().line()
    );
}

#[test]
fn a_fleet_that_grows_from_three_to_thirty_completes_its_release_within_the_limit() {
    for seed in 0..3 {
        let mut fleet = virtual_fleet(Scenario {
            voters: 3,
            ..Scenario::calm(seed, 30)
        });
        fleet.start_late(3, 4000.0);
        fleet.run_until(|_| false);
        assert!(
            fleet.report().violations.is_empty(),
            "{}",
            fleet.report().line()
        );
    }
}

#[test]
fn a_release_with_three_of_four_members_lost_proceeds_once_they_are_forgotten() {
    let mut scenario = Scenario {
        voters: 1,
        ..Scenario::calm(4, 4)
    };
    scenario.done_within = 0.0;
    scenario.lasts = 40_000.0;
    let mut fleet = virtual_fleet(scenario);
    fleet.crash_before_release(&[1, 2, 3]);
    fleet.run_until(|_| false);
    // Three members are lost and one may be out, so the last member is granted no restart lease.
    assert!(
        fleet.report().released == 0 && fleet.report().max_out <= 1,
        "{}",
        fleet.report().line()
    );
    fleet.forget_members(&[1, 2, 3]);
    fleet.run_for(60_000.0);
    assert_eq!(fleet.released_count(), 1, "{}", fleet.diagnostics());
}
