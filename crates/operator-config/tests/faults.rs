//! Files that are wrong are refused whole, by place and key.

use proptest::prelude::*;
use tansymux_operator_config::{read, schema};

fn faults(text: &str) -> Vec<String> {
    read(text)
        .expect_err(text)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn an_empty_file_says_nothing_and_defaults_stand_beside_the_fields() {
    let operator = read("").unwrap();
    assert!(operator.log.is_none() && operator.statements.is_none());
    let operator = read("log {} statements { cache {} }").unwrap();
    assert_eq!(operator.log.unwrap().level(), schema::log::Level::Info);
    let statements = operator.statements.unwrap();
    assert_eq!(statements.check(), schema::statements::Check::Off);
    assert_eq!(statements.cache.unwrap().shapes(), 4096);
}

#[test]
fn the_example_of_operators_is_whole() {
    let text = include_str!("../../../deploy/operator.textproto");
    let operator = read(text).unwrap();
    assert!(operator.statements.unwrap().rule.len() > 3);
}

#[test]
fn each_fault_names_line_key_what_was_there_and_what_is_allowed() {
    let cases = [
        ("log {\n  lines_a_second: 0\n}", "2:3: log.lines_a_second is 0, allowed is 1 to 1000"),
        ("statements {\n\n cache { shapes: 3 } }", "3:10: statements.cache.shapes is 3, allowed is 16 to 1000000"),
        ("statements { path: \"x\" groups { look_up: \"a\" report: \"b\" load: \"c\" } }", "statements.path is \"x\""),
        ("statements { path: \"/_health\" groups { look_up: \"a\" report: \"b\" load: \"c\" } }", "1:14: statements.path"),
        ("statements {\n path: \"/s\" groups { look_up: \"a\" report: \"b\" } }", "2:13: statements.groups.load is missing"),
        ("statements { dialect: [ANSI, ANSI] }", "statements.dialect.1 is ANSI a second time"),
        ("statements { rule {} }", "statements.rule.0.class is missing"),
        ("statements { rule { class: LOAD } }", "1:21: statements.rule.0.class is LOAD"),
        (
            "statements { rule { class: REPORT grouped: true }\n rule { class: LOOK_UP grouped: true pointed: true } }",
            "2:2: statements.rule.1 is shadowed by statements.rule.0",
        ),
        ("statements { pure_function: \"a b\" }", "statements.pure_function.0 is \"a b\""),
        ("statements { pure_function: \"f\" effect_function: \"F\" }", "statements.effect_function.0 is \"F\" a second"),
        ("statements { learning { most_step: nan } }", "statements.learning.most_step is NaN"),
        ("levels { level { name: \"a\" } }", "1:10: levels.level.0.enter is missing"),
        (
            "levels { level { name: \"a\" enter { all { signal: PRESSED enter: 0.5 leave: 0.5 } } act { bounds: 0.5 } } }",
            "1:36: levels.level.0.enter.all.0 is 0.5 to enter and 0.5 to leave",
        ),
        ("levels { level { enter { any { enter: 1 } } } }", "levels.level.0.enter.any.0.signal is missing"),
        ("levels { level { enter { any { signal: READY of: \"x\" enter: 0 leave: 1 } } } }", "any.0.of is given for READY"),
        ("levels { level { act { bounds: 0 } } }", "levels.level.0.act.bounds is 0, allowed is 0.05 to 1"),
        ("levels { pin: \"b\" }", "levels.pin is \"b\""),
        ("halls { spill { } }", "1:9: halls.spill.0.most is missing"),
        ("halls { spill { most: 5 } }", "halls.spill.0.most is 5, allowed is 0 to 4"),
        ("halls { route { tier { hall: \"a\" }\n tier { hall: [\"b\", \"a\"] } } }", "2:9: halls.route.0.tier.1.hall.1 is \"a\" a second"),
        ("halls { climb { over_s: 0 } }", "halls.climb.over_s is 0"),
        // Of form: the library's words, our place and key.
        ("log {\n levle: WARN\n}", "2:2: log.levle: "),
        ("log { level: LOUD }", "log.level: "),
        ("log { level: WARN level: INFO }", "log.level"),
        ("log { lines_a_second: \"x\" }", "log.lines_a_second: "),
        ("log {", "1:6: "),
    ];
    for (text, says) in cases {
        let all = faults(text);
        assert!(
            all.iter().any(|fault| fault.contains(says)),
            "{says} in {all:?}"
        );
    }
}

#[test]
fn all_faults_of_meaning_are_told_at_once_in_order_of_lines() {
    let all = faults(
        "statements { cache { shapes: 3 }\n learning { half_sure: 0 } }\nlog { lines_at_once: 0 }",
    );
    assert_eq!(all.len(), 3);
    assert!(
        all[0].starts_with("1:") && all[1].starts_with("2:") && all[2].starts_with("3:"),
        "{all:?}"
    );
}

#[test]
fn what_is_nested_without_end_is_refused_and_not_followed() {
    let deep = "statements { ".repeat(20_000);
    assert!(faults(&deep)[0].contains("nested too deeply"));
}

proptest! {
    #[test]
    fn no_text_makes_it_panic(text in "[a-z_{}<>:\\[\\]\"'#0-9., \n\\PC]{0,200}") {
        let _ = read(&text);
    }

    #[test]
    fn no_cut_or_spoilt_example_makes_it_panic(cut in 0usize..4000, at in 0usize..4000, with in any::<char>()) {
        let text = include_str!("../../../deploy/operator.textproto");
        let mut chars: Vec<char> = text.chars().take(cut).collect();
        if let Some(place) = chars.get_mut(at) {
            *place = with;
        }
        let _ = read(&chars.into_iter().collect::<String>());
    }
}
