//! Tests of the controller's assessments and decisions, of members' quotas, and of members without contact to the
//! leader.

mod follower;
mod leader;
mod quota_simulation;
mod quotas;

use leader::{short_step_config, Leader, EAST, WEST};
use tansymux_zone_evacuation::{
    Config, EvacuationError, Initiator, Reachability, Reason, Stage, ZoneHealth, ZoneStatus,
};

/// The status of a recovering zone.
fn recovering(step: u8, number: u32) -> ZoneStatus {
    ZoneStatus {
        stage: Stage::Recovering,
        step,
        decision_number: number,
        reason: Reason::Reached,
    }
}

#[test]
fn zone_that_no_member_reaches_is_lost_and_evacuated_once() {
    let mut leader = Leader::new(short_step_config());
    leader.receive_reports(5000.0, EAST, |_, home_zone| {
        (home_zone != EAST).then_some((Reachability::Unreachable, false))
    });
    assert_eq!(
        leader.controller.assess(EAST, leader.now_ms),
        ZoneHealth::Lost
    );
    assert_eq!(
        (leader.decisions.len(), leader.stage(EAST)),
        (1, Some(Stage::Evacuated))
    );
}

#[test]
fn new_leader_keeps_the_capacity_of_the_endpoint_list() {
    let mut leader = Leader::new(short_step_config());
    leader.controller.clear();
    leader.receive_reports(5000.0, EAST, |_, home_zone| {
        (home_zone != EAST).then_some((Reachability::Unreachable, false))
    });
    assert_eq!(leader.stage(EAST), Some(Stage::Evacuated));
}

#[test]
fn zone_reached_only_by_members_inside_is_cut_off() {
    let mut leader = Leader::new(short_step_config());
    leader.receive_reports(5000.0, EAST, |_, home_zone| {
        Some((
            if home_zone == EAST {
                Reachability::Reachable
            } else {
                Reachability::Unreachable
            },
            false,
        ))
    });
    assert_eq!(
        leader.controller.assess(EAST, leader.now_ms),
        ZoneHealth::CutOff
    );
    assert_eq!(leader.agreed[&EAST].reason, Reason::CutOff);
}

#[test]
fn zone_unreached_by_a_few_members_is_not_evacuated() {
    let mut leader = Leader::new(short_step_config());
    leader.receive_reports(8000.0, EAST, |id, home_zone| {
        Some((
            if home_zone != EAST && id < 4 {
                Reachability::Unreachable
            } else {
                Reachability::Reachable
            },
            false,
        ))
    });
    assert_eq!(
        leader.controller.assess(EAST, leader.now_ms),
        ZoneHealth::PartlyUnreachable
    );
    assert!(leader.decisions.is_empty());
}

#[test]
fn isolated_members_and_members_without_evidence_do_not_count_as_witnesses() {
    let mut leader = Leader::new(short_step_config());
    // Outside the zone, one member reaches it, four are isolated, and one has no evidence.
    leader.receive_reports(6000.0, EAST, |id, home_zone| match (home_zone, id) {
        (EAST, _) => Some((Reachability::Reachable, false)),
        (_, 1) => Some((Reachability::Unknown, false)),
        (_, 2) => Some((Reachability::Reachable, false)),
        _ => Some((Reachability::Unreachable, true)),
    });
    assert!(leader.decisions.is_empty(), "{:?}", leader.decisions);
    // Only one of the six members outside the zone has evidence, which is too little for an assessment.
    let mut leader = Leader::new(short_step_config());
    leader.receive_reports(6000.0, EAST, |id, _| {
        (id == 1).then_some((Reachability::Unreachable, false))
    });
    assert_eq!(
        leader.controller.assess(EAST, leader.now_ms),
        ZoneHealth::Unknown
    );
    assert!(leader.decisions.is_empty());
}

#[test]
fn reachable_zone_is_not_evacuated() {
    let mut leader = Leader::new(short_step_config());
    leader.receive_reports(10_000.0, EAST, |_, _| {
        Some((Reachability::Reachable, false))
    });
    assert!(leader.decisions.is_empty());
}

#[test]
fn evacuation_of_a_second_zone_needs_an_operator_and_enough_capacity() {
    let mut leader = Leader::new(short_step_config());
    leader.receive_reports(4000.0, EAST, |_, home_zone| {
        (home_zone != EAST).then_some((Reachability::Unreachable, false))
    });
    let mut agreed = leader.agreed.clone();
    assert_eq!(agreed.len(), 1);
    let result =
        leader
            .controller
            .check_evacuation(WEST, &agreed, Initiator::Controller, leader.now_ms);
    assert!(
        matches!(result, Err(EvacuationError::TooManyCores { fraction }) if fraction > 0.6),
        "{result:?}"
    );
    // For an operator only the capacity of the remaining zones counts. A refusal contains the figures.
    let result =
        leader
            .controller
            .check_evacuation(WEST, &agreed, Initiator::Operator, leader.now_ms);
    assert_eq!(result, Ok(()));
    agreed.clear();
    let low_capacity = Config {
        spill_capacity_fraction: 0.1,
        full_threads_per_core: 1.0,
        ..short_step_config()
    };
    leader.controller.set_config(low_capacity);
    let result =
        leader
            .controller
            .check_evacuation(WEST, &agreed, Initiator::Operator, leader.now_ms);
    assert!(
        matches!(result, Err(EvacuationError::InsufficientCapacity { load_threads, capacity_threads }) if load_threads > capacity_threads),
        "{result:?}"
    );
}

#[test]
fn recovery_advances_step_by_step_to_full_use_within_30_s() {
    let mut leader = Leader::new(short_step_config());
    leader.receive_reports(5000.0, EAST, |_, home_zone| {
        (home_zone != EAST).then_some((Reachability::Unreachable, false))
    });
    leader.receive_reports(30_000.0, EAST, |_, _| {
        Some((Reachability::Reachable, false))
    });
    assert_eq!(leader.stage(EAST), None, "{:?}", leader.decisions);
    // The decisions: evacuated, first ramp step, eight further steps, full use.
    assert_eq!(leader.decisions.len(), 1 + 1 + 8 + 1);
    let numbers: Vec<u32> = leader
        .decisions
        .iter()
        .filter_map(|decision| decision.status)
        .map(|status| status.decision_number)
        .collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn failures_set_a_recovery_back_and_losing_the_zone_ends_it() {
    let mut leader = Leader::new(short_step_config());
    leader.receive_reports(5000.0, EAST, |_, home_zone| {
        (home_zone != EAST).then_some((Reachability::Unreachable, false))
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
            .is_none_or(|status| status.step < step),
        "{:?}",
        leader.decisions
    );
    leader.receive_reports(3000.0, EAST, |_, home_zone| {
        (home_zone != EAST).then_some((Reachability::Unreachable, false))
    });
    assert_eq!(leader.stage(EAST), Some(Stage::Evacuated));
}

#[test]
fn flapping_zone_stays_evacuated_longer_each_time_up_to_a_limit() {
    for period_ms in [3000.0, 10_000.0, 60_000.0] {
        let config = Config {
            min_evacuation_ms: 2000.0,
            max_evacuation_ms: 60_000.0,
            flap_window_ms: 600_000.0,
            ..short_step_config()
        };
        let mut leader = Leader::new(config);
        for _ in 0..(400_000.0 / period_ms) as usize {
            leader.receive_reports(period_ms / 2.0, EAST, |_, home_zone| {
                (home_zone != EAST).then_some((Reachability::Unreachable, false))
            });
            leader.receive_reports(period_ms / 2.0, EAST, |_, _| {
                Some((Reachability::Reachable, false))
            });
        }
        let evacuations = leader
            .decisions
            .iter()
            .filter(|decision| {
                decision
                    .status
                    .is_some_and(|status| status.stage == Stage::Evacuated)
            })
            .count();
        assert!(
            (1..=14).contains(&evacuations),
            "evacuated {evacuations} times at a period of {period_ms} ms"
        );
        // The zone returns to full use once it stays reachable.
        leader.receive_reports(60_000.0 + 30_000.0, EAST, |_, _| {
            Some((Reachability::Reachable, false))
        });
        assert_eq!(leader.stage(EAST), None);
    }
}
