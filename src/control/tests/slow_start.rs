//! Slow start: rule 4.

use super::*;

fn dispatcher_with_warming_engine() -> Control {
    let overrides =
        "rules.overload-for-us=3000000 rules.fall-multiple=2 rules.cold-from=0.3 rules.warm-after-us=9000000";
    let mut control = dispatcher(overrides, &[]);
    run_round(&mut control, 1.0, |control, out| {
        control.begin_update(EndpointListKind::Delta);
        control.upsert_endpoint(&ready_endpoint(1, "small", "h1", Some(START_MS)));
        control.finish_update(EndpointListKind::Delta, out);
    });
    control
}

#[test]
fn rule_4_warming_engine_gets_no_more_than_this_dispatchers_share() {
    let mut control = dispatcher_with_warming_engine();
    // 2 x 0.3 x 8 cores x 0.85 x 3 s = 12.24 s of work for the two dispatchers together.
    let sent = (0..400)
        .filter(|&query_id| {
            has_decision(
                &send_query(&mut control, 2.0, query_id, "look", 100.0),
                "submit",
            )
        })
        .count();
    assert!((20..=61).contains(&sent), "{sent} x 100 ms");
    assert!(has_decision(
        &send_query(&mut control, 2_900.0, 900, "look", 100.0),
        "reject"
    ));
    run_round(&mut control, 3_050.0, |_, _| ());
    assert!(
        has_decision(
            &send_query(&mut control, 3_100.0, 901, "look", 100.0),
            "submit"
        ),
        "the span of the rule has passed"
    );
}

/// Returns the work that a fleet sends to one warming engine within the rule's span, and the work that the rule allows,
/// both as numbers of queries of mean work.
///
/// Every dispatcher receives more work than it may send, the busiest four times as much as the least busy (seven times
/// in a fleet of 3). Within the span, 7 of 10 dispatchers (all in a fleet of 3) restart without their state.
fn work_sent_by_a_fleet(dispatchers: usize, seed: u64) -> (f64, f64) {
    let overrides =
        "rules.overload-for-us=3000000 rules.fall-multiple=3 rules.cold-from=0.3 rules.warm-after-us=9000000";
    let start_dispatcher = |index: usize, incarnation: u64, at_ms: f64| {
        let settings_map = settings(&format!("balancers={dispatchers} {overrides}"));
        let mut control = Control::new(
            seed * 1_000_003 + index as u64 * 7 + incarnation,
            &settings_map,
        )
        .unwrap();
        run_round(&mut control, at_ms, |control, out| {
            control.begin_update(EndpointListKind::Cached);
            control.upsert_endpoint(&ready_endpoint(1, "small", "h1", Some(START_MS + 50.0)));
            control.finish_update(EndpointListKind::Cached, out);
        });
        control
    };
    let mut fleet: Vec<Control> = (0..dispatchers)
        .map(|index| start_dispatcher(index, 0, 0.0))
        .collect();
    // One report of 2 s follows every 20 look-ups of 100 ms.
    let (mean_work_ms, mut work_ms, mut query_id) = ((20.0 * 100.0 + 2000.0) / 21.0, 0.0, 0);
    for step in 0..=140 {
        let at_ms = 60.0 + 20.0 * f64::from(step);
        for (index, dispatcher) in fleet.iter_mut().enumerate() {
            if step == 70 && index % 10 < 7 {
                *dispatcher = start_dispatcher(index, 1, at_ms);
            }
            // Fleets of 3, 30 and 300 dispatchers receive about 18, 97 and 965 times the work that the rule allows.
            let query_count = 1 + (index % 10 * 30 / dispatchers.min(30)) / 3;
            for _ in 0..query_count {
                query_id += 1;
                let (group, cost_ms) = if query_id % 21 == 0 {
                    ("rep", 2000.0)
                } else {
                    ("look", 100.0)
                };
                let decisions = send_query(dispatcher, at_ms, query_id, group, cost_ms);
                work_ms += if has_decision(&decisions, "submit") {
                    cost_ms
                } else {
                    0.0
                };
            }
        }
    }
    (
        work_ms / mean_work_ms,
        3.0 * 0.3 * 8.0 * 0.85 * 3000.0 / mean_work_ms,
    )
}

#[test]
fn rule_4_holds_for_the_sum_of_fleets_of_3_30_and_300_dispatchers_that_restart() {
    for (dispatchers, seeds) in [(3, 20), (30, 20), (300, 4)] {
        for seed in 1..=seeds {
            let (sent, allowed) = work_sent_by_a_fleet(dispatchers, seed);
            assert!(
                sent <= allowed + 2.0 * allowed.sqrt() + 2.0,
                "{dispatchers} {seed}: {sent} of {allowed}"
            );
            assert!(
                sent >= 0.2 * allowed,
                "{dispatchers} {seed}: {sent} of {allowed}: the engine is not warmed up"
            );
        }
    }
}

#[test]
fn share_of_a_warming_engine_below_one_query_is_used_by_random_draw() {
    let overrides =
        "balancers=300 rules.overload-for-us=3000000 rules.fall-multiple=3 rules.cold-from=0.3 \
        rules.warm-after-us=9000000";
    let sent = (0..300)
        .filter(|&seed| {
            let mut control = Control::new(seed, &settings(overrides)).unwrap();
            run_round(&mut control, 1.0, |control, out| {
                control.begin_update(EndpointListKind::Delta);
                control.upsert_endpoint(&ready_endpoint(1, "small", "h1", Some(START_MS)));
                control.finish_update(EndpointListKind::Delta, out);
            });
            run_round(&mut control, 30.0, |_, _| ());
            (0..9)
                .filter(|&query_id| {
                    has_decision(
                        &send_query(&mut control, 40.0, query_id, "look", 100.0),
                        "submit",
                    )
                })
                .count()
                > 0
        })
        .count();
    // 3 x 0.3 x 8 cores x 0.85 x 3 s = 18.4 s of work for all dispatchers, which is 184 of these queries.
    assert!(
        (3..92).contains(&sent),
        "{sent} of 300 dispatchers sent a query"
    );
}
