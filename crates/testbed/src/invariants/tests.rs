//! For each rule, records that keep it and records that violate it.

use super::*;
use std::collections::HashMap;

fn rules() -> Rules {
    let zone_bound = ClassRules {
        zones: Some(vec!["east".into()]),
        ..ClassRules::for_effect(Effect::ReadOnly)
    };
    let ordered = ClassRules {
        in_order: true,
        ..ClassRules::for_effect(Effect::NonIdempotent)
    };
    let idempotent = ClassRules {
        dedup_scope: DedupScope::Zone,
        dedup_window_ms: 1000.0,
        ..ClassRules::for_effect(Effect::IdempotencyKey)
    };
    Rules {
        slack_ms: 50.0,
        late_answer_ms: 0.0,
        grace_ms: 100.0,
        warm_up: Some(WarmUpRule {
            multiple: 2.0,
            initial_fraction: 0.25,
            span_ms: 100.0,
            warm_after_ms: 5000.0,
        }),
        cooldown_ms: 500.0,
        retry_budget: Some(RetryBudget {
            span_ms: 1000.0,
            free: 1.0,
            query_fraction: 0.1,
        }),
        classes: HashMap::from([
            ("look".to_owned(), ClassRules::for_effect(Effect::ReadOnly)),
            (
                "load".to_owned(),
                ClassRules::for_effect(Effect::NonIdempotent),
            ),
            ("ordered".to_owned(), ordered),
            ("idempotent".to_owned(), idempotent),
            ("zone_bound".to_owned(), zone_bound),
        ]),
    }
}

fn asked(class: &str, id: &str, key: Option<&str>) -> EventKind {
    EventKind::Asked {
        id: id.into(),
        class: class.into(),
        max_wait_ms: 1000.0,
        key: key.map(Into::into),
    }
}

fn answered(id: &str, status: u16) -> EventKind {
    EventKind::Answered {
        id: id.into(),
        status,
        retry_after_ms: None,
    }
}

fn arrived(engine: &str, id: &str) -> EventKind {
    EventKind::Arrived {
        engine: engine.into(),
        id: id.into(),
        work_ms: 10.0,
    }
}

fn ended(engine: &str, id: &str, ran: bool) -> EventKind {
    EventKind::Ended {
        engine: engine.into(),
        id: id.into(),
        reply: "X".into(),
        ran,
    }
}

fn given_up(engine: &str, id: &str) -> EventKind {
    EventKind::GivenUp {
        engine: engine.into(),
        id: id.into(),
    }
}

fn listed(engine: &str, status: Status, zone: &str) -> EventKind {
    EventKind::Listed {
        engine: engine.into(),
        status,
        zone: zone.into(),
        kind: "std".into(),
        cell: 0,
    }
}

/// The numbers of the rules that a record violates, one for each violation.
fn violated_rules(run: &[(f64, EventKind)]) -> Vec<u8> {
    let entries: Vec<Entry> = run
        .iter()
        .map(|(at_ms, event)| Entry {
            at_ms: *at_ms,
            event: event.clone(),
        })
        .collect();
    find_violations(&entries, &rules())
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_record_that_keeps_all_rules_has_no_violation() {
    let run = [
        (0.0, listed("e", Status::Ready, "east")),
        (0.0, listed("w", Status::Ready, "west")),
        (1.0, asked("look", "1", None)),
        (2.0, arrived("e", "1")),
        (3.0, ended("e", "1", true)),
        (4.0, answered("1", 200)),
        (5.0, asked("load", "2", None)),
        (6.0, arrived("e", "2")),
        (7.0, ended("e", "2", false)),
        (8.0, arrived("w", "2")),
        (
            9.0,
            EventKind::Applied {
                engine: "w".into(),
                id: "2".into(),
            },
        ),
        (9.0, ended("w", "2", true)),
        (10.0, answered("2", 200)),
        (11.0, asked("ordered", "3", Some("k"))),
        (11.0, asked("ordered", "4", Some("k"))),
        (12.0, arrived("e", "3")),
        (13.0, ended("e", "3", true)),
        (14.0, answered("3", 200)),
        (15.0, arrived("e", "4")),
        (16.0, ended("e", "4", true)),
        (17.0, answered("4", 200)),
        (20.0, asked("look", "5", None)),
        (21.0, EventKind::Left { id: "5".into() }),
        (5000.0, asked("look", "6", None)),
    ];
    assert_eq!(violated_rules(&run), [0; 0]);
}

#[test]
fn rule_1_one_answer_in_time_and_no_attempt_after_it() {
    assert_eq!(
        violated_rules(&[
            (0.0, asked("look", "1", None)),
            (5.0, answered("1", 200)),
            (6.0, answered("1", 429))
        ]),
        [1]
    );
    assert_eq!(
        violated_rules(&[
            (0.0, asked("look", "1", None)),
            (1051.0, answered("1", 200))
        ]),
        [1]
    );
    assert_eq!(
        violated_rules(&[
            (0.0, asked("look", "1", None)),
            (2000.0, asked("look", "2", None))
        ]),
        [1]
    );
    assert_eq!(violated_rules(&[(0.0, answered("9", 200))]), [1]);
    assert_eq!(violated_rules(&[(0.0, arrived("e", "9"))]), [1]);
    let attempt_after_answer = [
        (0.0, asked("look", "1", None)),
        (5.0, answered("1", 429)),
        (90.0, arrived("e", "1")),
    ];
    assert_eq!(violated_rules(&attempt_after_answer), [1]);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn rule_2_no_effect_is_applied_twice_and_no_rejection_invites_a_retry() {
    let retry_after = |end: EventKind| {
        violated_rules(&[
            (0.0, asked("load", "1", None)),
            (1.0, arrived("e", "1")),
            (2.0, end),
            (3.0, arrived("w", "1")),
        ])
    };
    assert_eq!(retry_after(ended("e", "1", false)), [0; 0]);
    assert_eq!(retry_after(ended("e", "1", true)), [2]);
    assert_eq!(retry_after(given_up("e", "1")), [2]);
    let rejected = |ran: bool| {
        violated_rules(&[
            (0.0, asked("load", "1", None)),
            (1.0, arrived("e", "1")),
            (2.0, ended("e", "1", ran)),
            (3.0, answered("1", 429)),
        ])
    };
    assert_eq!((rejected(false), rejected(true)), (vec![], vec![2]));
    let concurrent = [
        (0.0, asked("load", "1", None)),
        (1.0, arrived("e", "1")),
        (2.0, arrived("w", "1")),
    ];
    assert!(violated_rules(&concurrent).contains(&2));
    let applied = |id: &str| EventKind::Applied {
        engine: "e".into(),
        id: id.into(),
    };
    assert_eq!(
        violated_rules(&[
            (0.0, asked("load", "1", None)),
            (1.0, applied("1")),
            (2.0, applied("1"))
        ]),
        [2]
    );
    // An idempotency key is recognised only in the first attempt's zone and within the dedup window.
    let retry_with_key = |zone: &str, at_ms: f64| {
        violated_rules(&[
            (0.0, listed("e", Status::Ready, "east")),
            (0.0, listed("w", Status::Ready, zone)),
            (
                0.0,
                EventKind::Asked {
                    id: "1".into(),
                    class: "idempotent".into(),
                    max_wait_ms: 9e3,
                    key: None,
                },
            ),
            (1.0, arrived("e", "1")),
            (2.0, given_up("e", "1")),
            (at_ms, arrived("w", "1")),
        ])
    };
    assert_eq!(
        (
            retry_with_key("east", 3.0),
            retry_with_key("west", 3.0),
            retry_with_key("east", 1100.0)
        ),
        (vec![], vec![2], vec![2])
    );
}

#[test]
fn rule_3_no_attempt_at_a_closed_engine_after_the_grace_period() {
    let sent = |status: Status, at_ms: f64| {
        violated_rules(&[
            (0.0, listed("e", status, "east")),
            (1.0, asked("look", "1", None)),
            (at_ms, arrived("e", "1")),
        ])
    };
    assert_eq!(
        (sent(Status::Draining, 149.0), sent(Status::Draining, 151.0)),
        (vec![], vec![3])
    );
    assert_eq!(
        (sent(Status::Gone, 500.0), sent(Status::Ready, 500.0)),
        (vec![3], vec![])
    );
}

#[test]
fn rule_4_a_warming_engine_is_not_overloaded() {
    let overloads = |query_count: usize, at_ms: f64| {
        let mut run = vec![(
            0.0,
            EventKind::Started {
                engine: "e".into(),
                cores: 1.0,
            },
        )];
        for n in 0..query_count {
            run.push((at_ms, asked("look", &n.to_string(), None)));
            run.push((at_ms, arrived("e", &n.to_string())));
        }
        violated_rules(&run).contains(&4)
    };
    // A span sustains 2 x 0.25 x 1 core x 100 ms = 50 ms of work: five queries of 10 ms.
    assert_eq!(
        (overloads(5, 10.0), overloads(6, 10.0), overloads(6, 5001.0)),
        (false, true, false)
    );
}

#[test]
fn rule_5_queries_of_a_key_run_in_order_and_after_its_cooldown() {
    let second_query_after = |events: Vec<(f64, EventKind)>, at_ms: f64| {
        let mut run = vec![
            (0.0, asked("ordered", "1", Some("k"))),
            (0.0, asked("ordered", "2", Some("k"))),
            (1.0, arrived("e", "1")),
        ];
        run.extend(events);
        run.push((at_ms, arrived("e", "2")));
        violated_rules(&run)
    };
    assert_eq!(second_query_after(vec![], 2.0), [5]);
    assert_eq!(
        second_query_after(
            vec![(2.0, ended("e", "1", true)), (3.0, answered("1", 200))],
            4.0
        ),
        [0; 0]
    );
    let uncertain_end = || vec![(2.0, given_up("e", "1")), (3.0, answered("1", 500))];
    assert_eq!(
        (
            second_query_after(uncertain_end(), 300.0),
            second_query_after(uncertain_end(), 510.0)
        ),
        (vec![5], vec![])
    );
}

#[test]
fn rule_6_each_attempt_runs_in_an_allowed_zone() {
    let sent = |zone: &str| {
        violated_rules(&[
            (0.0, listed("e", Status::Ready, zone)),
            (1.0, asked("zone_bound", "1", None)),
            (2.0, arrived("e", "1")),
        ])
    };
    assert_eq!((sent("east"), sent("west")), (vec![], vec![6]));
}

#[test]
fn rule_7_retries_stay_within_the_budget() {
    let exceeds_budget = |retries: usize| {
        let mut run = vec![(0.0, asked("look", "1", None)), (0.0, arrived("e", "1"))];
        (0..retries).for_each(|n| run.push((n as f64, arrived("e", "1"))));
        violated_rules(&run).contains(&7)
    };
    // The budget with its tolerance is 1.15 x (1 + 0.1) + 1 = 2.3 retries.
    assert_eq!((exceeds_budget(2), exceeds_budget(3)), (false, true));
}

#[test]
fn a_record_entry_is_unchanged_after_serialization_and_parsing() {
    let entry = Entry {
        at_ms: 7.5,
        event: asked("look", "1", Some("k")),
    };
    let text = serde_json::to_string(&entry).unwrap();
    assert_eq!(
        serde_json::from_str::<Entry>(&text).unwrap(),
        entry,
        "{text}"
    );
}

#[test]
fn an_attempt_over_100_ms_after_its_client_disconnected_is_a_violation() {
    let disconnected = |id: &str| EventKind::Left { id: id.into() };
    for (at_ms, count) in [(140.0, 0), (300.0, 1)] {
        let entries = [
            (0.0, asked("look", "a", None)),
            (20.0, disconnected("a")),
            (at_ms, arrived("s-1", "a")),
        ];
        let found = violated_rules(&entries);
        assert_eq!(found.len(), count, "{found:?}");
    }
}

#[test]
fn a_time_limit_beyond_the_clients_remaining_time_is_a_violation() {
    for (limit_ms, count) in [(600.0, 0), (690.0, 0), (900.0, 1)] {
        let told = EventKind::Told {
            engine: "s-1".into(),
            id: "a".into(),
            limit_ms,
        };
        let entries = [
            (0.0, asked("look", "a", None)),
            (500.0, told),
            (600.0, answered("a", 200)),
        ];
        let found = violated_rules(&entries);
        assert_eq!(found.len(), count, "{limit_ms}: {found:?}");
    }
}

#[test]
fn lost_queries_and_failed_dispatchers_are_violations_but_excluded_queries_are_not() {
    let lost = EventKind::Lost {
        id: "a".into(),
        how: "reset".into(),
    };
    let failed = EventKind::DispatcherFailed {
        dispatcher: "n1".into(),
        how: "was not ready in time".into(),
    };
    let excluded = EventKind::Excluded { id: "b".into() };
    let entries = [
        (0.0, asked("look", "a", None)),
        (0.0, asked("look", "b", None)),
        (5.0, lost),
        (6.0, excluded),
        (7.0, failed),
        (9000.0, asked("look", "c", None)),
    ];
    let found = violated_rules(&entries);
    assert_eq!(found.len(), 2, "{found:?}");
}

#[test]
fn a_fleet_that_overloads_a_warming_engine_is_a_violation() {
    let rule = WarmUpRule {
        multiple: 2.0,
        initial_fraction: 0.25,
        span_ms: 100.0,
        warm_after_ms: 5000.0,
    };
    // 2 x 0.25 x 4 cores x 100 ms = 200 ms of work: 20 requests of 10 ms, 36.4 with the tolerance.
    assert!((sustainable_requests(20.0) - 36.4).abs() < 0.1);
    assert!((sustainable_requests(100.0) - 122.0).abs() < 1e-9);
    let started = EventKind::Started {
        engine: "s-1".into(),
        cores: 4.0,
    };
    for (count, is_violated) in [(36, false), (37, true)] {
        let mut entries = vec![Entry {
            at_ms: 0.0,
            event: started.clone(),
        }];
        for nth in 0..count {
            entries.push(Entry {
                at_ms: 10.0 + f64::from(nth),
                event: arrived("s-1", "a"),
            });
        }
        let found = find_slow_start_violations(&entries, &rule, 10.0);
        assert_eq!(!found.is_empty(), is_violated, "{count}: {found:?}");
    }
}

#[test]
fn a_concurrent_second_attempt_violates_rule_2_for_each_class() {
    for class in ["look", "load", "idempotent"] {
        let concurrent = [
            (0.0, listed("e", Status::Ready, "east")),
            (1.0, asked(class, "1", None)),
            (2.0, arrived("e", "1")),
            (3.0, arrived("e", "1")),
        ];
        assert!(violated_rules(&concurrent).contains(&2), "{class}");
    }
    let sequential = [
        (0.0, listed("e", Status::Ready, "east")),
        (1.0, asked("look", "1", None)),
        (2.0, arrived("e", "1")),
        (3.0, given_up("e", "1")),
        (4.0, arrived("e", "1")),
        (5.0, ended("e", "1", true)),
        (6.0, answered("1", 200)),
    ];
    assert!(violated_rules(&sequential).is_empty());
}

#[test]
fn an_answer_with_wrong_rows_violates_rule_1() {
    let run = [
        (1.0, asked("look", "1", None)),
        (
            2.0,
            EventKind::WrongRows {
                id: "1".into(),
                rows: "x".into(),
            },
        ),
        (3.0, answered("1", 200)),
    ];
    assert_eq!(violated_rules(&run), [1]);
}
