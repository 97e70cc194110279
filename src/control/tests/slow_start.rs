//! Slow start: rule 4.

use super::*;

fn dispatcher_with_warming_engine() -> Control {
    let rules =
        "rules.overload-for-us=3000000 rules.fall-multiple=2 rules.cold-from=0.3 rules.warm-after-us=9000000";
    let mut control = dispatcher(rules, &[]);
    round(&mut control, 1.0, |control, out| {
        control.begin_update(EndpointListKind::Delta);
        control.upsert_endpoint(&ready(1, "small", "h1", Some(START_MS)));
        control.finish_update(EndpointListKind::Delta, out);
    });
    control
}

#[test]
fn rule_4_warming_engine_gets_no_more_than_this_dispatchers_share() {
    let mut control = dispatcher_with_warming_engine();
    // 2 x 0.3 x 8 cores x 0.85 x 3 s = 12.24 s of work for both dispatchers together.
    let sent = (0..400)
        .filter(|&id| has_decision(&send_query(&mut control, 2.0, id, "look", 100.0), "submit"))
        .count();
    assert!((20..=61).contains(&sent), "{sent} x 100 ms");
    assert!(has_decision(
        &send_query(&mut control, 2_900.0, 900, "look", 100.0),
        "reject"
    ));
    round(&mut control, 3_050.0, |_, _| ());
    assert!(
        has_decision(
            &send_query(&mut control, 3_100.0, 901, "look", 100.0),
            "submit"
        ),
        "the window has passed"
    );
}

/// What a whole fleet sends to one warming engine in the rule's span, and what the rule allows, both in queries of mean
/// work. All receive more than they may send, the busiest ten times what the least busy does, and within the span seven
/// in ten restart without memory.
fn work_sent_by_a_fleet(dispatchers: usize, seed: u64) -> (f64, f64) {
    let rules =
        "rules.overload-for-us=3000000 rules.fall-multiple=3 rules.cold-from=0.3 rules.warm-after-us=9000000";
    let start = |nth: usize, life: u64, at: f64| {
        let raw = settings(&format!("balancers={dispatchers} {rules}"));
        let mut control = Control::new(seed * 1_000_003 + nth as u64 * 7 + life, &raw).unwrap();
        round(&mut control, at, |control, out| {
            control.begin_update(EndpointListKind::Cached);
            control.upsert_endpoint(&ready(1, "small", "h1", Some(START_MS + 50.0)));
            control.finish_update(EndpointListKind::Cached, out);
        });
        control
    };
    let mut fleet: Vec<Control> = (0..dispatchers).map(|nth| start(nth, 0, 0.0)).collect();
    // For every 20 look-ups of 100 ms one report of 2 s.
    let (mean, mut work, mut id) = ((20.0 * 100.0 + 2000.0) / 21.0, 0.0, 0);
    for step in 0..=140 {
        let at = 60.0 + 20.0 * f64::from(step);
        for (nth, dispatcher) in fleet.iter_mut().enumerate() {
            if step == 70 && nth % 10 < 7 {
                *dispatcher = start(nth, 1, at);
            }
            // Together a hundred times what the rule allows, however many dispatchers there are.
            let asks = 1 + (nth % 10 * 30 / dispatchers.min(30)) / 3;
            for _ in 0..asks {
                id += 1;
                let (group, cost) = if id % 21 == 0 {
                    ("rep", 2000.0)
                } else {
                    ("look", 100.0)
                };
                let decided = send_query(dispatcher, at, id, group, cost);
                work += if has_decision(&decided, "submit") {
                    cost
                } else {
                    0.0
                };
            }
        }
    }
    (work / mean, 3.0 * 0.3 * 8.0 * 0.85 * 3000.0 / mean)
}

#[test]
fn rule_4_holds_for_the_sum_of_fleets_of_3_30_and_300_dispatchers_that_restart() {
    for (dispatchers, seeds) in [(3, 20), (30, 20), (300, 4)] {
        for seed in 1..=seeds {
            let (sent, bears) = work_sent_by_a_fleet(dispatchers, seed);
            assert!(
                sent <= bears + 2.0 * bears.sqrt() + 2.0,
                "{dispatchers} {seed}: {sent} of {bears}"
            );
            assert!(
                sent >= 0.2 * bears,
                "{dispatchers} {seed}: {sent} of {bears}: nobody warms it up"
            );
        }
    }
}

#[test]
fn share_of_a_warming_engine_below_one_query_is_used_by_lottery() {
    let raw =
        "balancers=300 rules.overload-for-us=3000000 rules.fall-multiple=3 rules.cold-from=0.3 \
        rules.warm-after-us=9000000";
    let sent = (0..300)
        .filter(|&seed| {
            let mut control = Control::new(seed, &settings(raw)).unwrap();
            round(&mut control, 1.0, |control, out| {
                control.begin_update(EndpointListKind::Delta);
                control.upsert_endpoint(&ready(1, "small", "h1", Some(START_MS)));
                control.finish_update(EndpointListKind::Delta, out);
            });
            round(&mut control, 30.0, |_, _| ());
            (0..9)
                .filter(|&id| {
                    has_decision(&send_query(&mut control, 40.0, id, "look", 100.0), "submit")
                })
                .count()
                > 0
        })
        .count();
    // 3 x 0.3 x 8 cores x 0.85 x 3 s = 18.4 s of work for all, which is 184 of these.
    assert!(
        (3..92).contains(&sent),
        "ic19720: {sent} dispatchers of 300 sent one"
    );
}
