//! Admission: lanes, quotas, and queries that cannot complete in time.

use super::*;

#[test]
fn query_that_cannot_complete_in_time_is_rejected_on_arrival() {
    let overrides = "services.0.hard-limit-us=900000 services.1.hard-limit-us=900000";
    // With the usual timeout the best run time decides; with a shorter one the recent slowdown counts too.
    for (timeout_ms, cost_ms, slowdown, is_submitted) in [
        (890.0, 800.0, 0.0, true),
        (890.0, 800.0, 1.0, true),
        (890.0, 900.0, 0.0, false),
        (300.0, 200.0, 0.0, true),
        (300.0, 200.0, 0.5, false),
        (3.0, 50.0, 0.0, false),
        (-1.0, 1.0, 0.0, false),
    ] {
        let mut control = dispatcher(overrides, TWO_ENGINES);
        control.groups[GroupIndex(0)]
            .slowdown_mut()
            .set_median(slowdown);
        let decisions = run_round(&mut control, 1.0, |control, out| {
            control
                .on_query_arrived(
                    &query_arrived(1, "look", START_MS + 1.0 + timeout_ms, cost_ms),
                    out,
                )
                .unwrap()
        });
        assert_eq!(
            has_decision(&decisions, "submit 1"),
            is_submitted,
            "{timeout_ms} {cost_ms}: {decisions:?}"
        );
        assert_eq!(
            has_decision(&decisions, "reject 1"),
            !is_submitted,
            "{timeout_ms} {cost_ms}: {decisions:?}"
        );
    }
    // A query on more threads is expected to complete sooner, also under pressure.
    let mut control = dispatcher(overrides, TWO_ENGINES);
    put_under_pressure(&mut control, 0);
    put_under_pressure(&mut control, 1);
    let decisions = run_round(&mut control, 1.0, |control, out| {
        control
            .on_query_arrived(&query_arrived(1, "rep", START_MS + 891.0, 1700.0), out)
            .unwrap()
    });
    assert!(has_decision(&decisions, "submit 1"), "{decisions:?}");
}

#[test]
fn query_far_above_its_groups_mean_cost_is_demoted() {
    let mut control = dispatcher("", ONE_ENGINE);
    for id in 0..30 {
        send_query(&mut control, 1.0, id, "look", 100.0);
    }
    send_query(&mut control, 2.0, 50, "look", 390.0);
    send_query(&mut control, 2.0, 51, "look", 450.0);
    let is_low = |id| {
        control
            .queries
            .iter()
            .find(|(_, query)| query.id == id)
            .unwrap()
            .1
            .lane
            == Lane::Low
    };
    assert_eq!((is_low(0), is_low(50), is_low(51)), (false, false, true));
}

#[test]
fn tenant_over_its_quota_has_headroom_only_on_engines_without_pressure() {
    let quotas = "projects.count=2 projects.0.name=a projects.0.allowance-per-s=20 \
        projects.1.name=b projects.1.allowance-per-s=20";
    let mut control = dispatcher(quotas, ONE_ENGINE);
    let mut send_from_tenant = |id, group: &str, tenant_name: &str, set_up: fn(&mut Control)| {
        set_up(&mut control);
        run_round(&mut control, 1.0, |control, out| {
            let query = QueryArrived {
                tenant: tenant_name,
                memory_mb: 1.0,
                ..query_arrived(id, group, START_MS + 9e3, 9.0)
            };
            control.on_query_arrived(&query, out).unwrap()
        })
    };
    for id in 0..60 {
        send_from_tenant(id, "look", "a", |_| ());
        send_from_tenant(
            100 + id,
            "look",
            if id % 3 == 0 { "b" } else { "a" },
            |_| (),
        );
    }
    send_from_tenant(300, "rep", "b", |_| ());
    assert!(
        has_decision(
            &send_from_tenant(301, "rep", "a", |control| control.engines[EngineIndex(0)]
                .limit
                .set_threads_per_core(2.0)),
            "submit"
        ),
        "below pressure"
    );
    assert!(has_decision(
        &send_from_tenant(302, "rep", "a", |control| put_under_pressure(control, 0)),
        "reject"
    ));
    assert!(has_decision(
        &send_from_tenant(303, "rep", "b", |_| ()),
        "submit"
    ));
}

#[test]
fn queries_without_estimates_before_the_first_answer_are_expected_to_meet_their_objective() {
    // Before the first answer of a group, the run time of its queries is unknown rather than zero. They are expected to
    // take as long as the objective: an attempt that has run for 600 ms is not overdue, and a query with a usual
    // deadline is admitted.
    let overrides = "services.0.hard-limit-us=20000000 limits.probes=1";
    let mut control = dispatcher(overrides, TWO_ENGINES);
    for id in 0..3 {
        assert!(has_decision(
            &send_query(&mut control, 1.0, id, "look", 0.0),
            "submit"
        ));
    }
    assert_eq!(
        control.expected_run_time_ms(control.queries.find(2).unwrap()),
        500.0
    );
    for id in 0..2 {
        let engine_id = engine_of(&control, id, 0);
        end_attempt(&mut control, 200.0, id, 0, Outcome::Completed, engine_id);
    }
    assert!(!has_decision(
        &run_round(&mut control, 600.0, |_, _| ()),
        "cancel"
    ));
    let decisions = send_query(&mut control, 610.0, 9, "look", 0.0);
    assert!(has_decision(&decisions, "submit 9"), "{decisions:?}");
    assert!(
        (control.expected_run_time_ms(control.queries.find(9).unwrap()) - 100.0).abs() < 20.0,
        "{}",
        control.expected_run_time_ms(control.queries.find(9).unwrap())
    );
}
