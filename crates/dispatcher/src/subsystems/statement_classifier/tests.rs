use super::*;
use tansymux::settings;
use tansymux_sql_analysis::Config;

#[test]
fn example_operators_file_gives_the_default_settings() {
    let text = include_str!("../../../../../deploy/operator.textproto");
    let operator = tansymux_operator_config::parse(text).unwrap();
    assert_eq!(
        analysis_settings(&operator.statements.unwrap()),
        Config::default()
    );
    assert_eq!(
        analysis_settings(&schema::Statements::default()),
        Config::default()
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn classifier_is_off_by_default_and_keeps_learned_costs_when_reconfigured() {
    let settings = settings::parse_pairs(
        "balancers=1 services.count=2 services.0.name=look services.0.effect=read_like services.0.aim-us=1 \
         services.1.name=load services.1.effect=non_idempotent services.1.aim-us=1 family-info.dop=1,4",
    );
    let settings = Settings::read(&settings.unwrap()).unwrap();
    let classifier = StatementClassifier::new(&settings, 0.0, [1; 16]);
    assert!(
        classifier.classify(b"select 1", 0.0).is_none()
            && classifier.check("look", "1", b"delete from t").is_none()
    );
    let definition = |check: Check| schema::Statements {
        path: Some("/s".into()),
        check: Some(check as i32),
        groups: Some(schema::Groups {
            look_up: Some("look".into()),
            report: Some("look".into()),
            load: Some("load".into()),
            unknown: None,
        }),
        ..Default::default()
    };
    classifier.reconfigure(Some(&definition(Check::Log)));
    let first = classifier
        .classify(b"select a from t where b = 1", 0.0)
        .unwrap();
    assert_eq!(
        (first.group.as_deref(), first.traits.may_write),
        (Some("look"), false)
    );
    let attempt = ClassifiedAttempt {
        shape: first.shape,
        group: "look".into(),
        waited: false,
    };
    let event = AttemptEnded {
        query_id: 1,
        attempt: 0,
        engine_id: 1,
        outcome: Outcome::Completed,
        answer_delivered: false,
        latency_ms: 7.0,
        used: None,
    };
    (0..9).for_each(|_| classifier.on_attempt_ended(&event, &attempt, 0.0));
    let unknown = classifier.classify(b"call f()", 0.0).unwrap();
    assert_eq!(
        (unknown.group.as_deref(), unknown.traits.may_write),
        (Some("load"), true)
    );
    assert!(
        !classifier
            .check("look", "1", b"delete from t")
            .unwrap()
            .traits
            .may_write
    );
    classifier.reconfigure(Some(&definition(Check::Enforce)));
    assert!(
        classifier
            .check("look", "1", b"delete from t")
            .unwrap()
            .traits
            .may_write
    );
    assert!(
        !classifier
            .check("load", "1", b"delete from t")
            .unwrap()
            .traits
            .may_write
    );
    assert_eq!(classifier.counters.unproven_read_only.get(), 2);
    let repeated = classifier
        .classify(b"select a from t where b = 2", 0.0)
        .unwrap();
    assert!(
        (repeated.cost_ms - 7.0).abs() < 0.1 && repeated.traits.confidence > 0.4,
        "{repeated:?}"
    );
    classifier.reconfigure(None);
    assert!(!classifier.is_path("/s"));
}
