//! Parsing of the operators' file: a file with errors is rejected as a whole, and each error names its location and
//! key.

use proptest::prelude::*;
use tansymux_operator_config::{parse, schema};

fn errors(text: &str) -> Vec<String> {
    parse(text)
        .expect_err(text)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn empty_file_is_accepted_and_fields_have_the_defaults_of_the_schema() {
    let operator = parse("").unwrap();
    assert!(operator.log.is_none() && operator.statements.is_none());
    let operator = parse("log {} statements { cache {} }").unwrap();
    assert_eq!(operator.log.unwrap().level(), schema::log::Level::Info);
    let statements = operator.statements.unwrap();
    assert_eq!(statements.check(), schema::statements::Check::Off);
    assert_eq!(statements.cache.unwrap().shapes(), 4096);
}

#[test]
fn example_file_is_accepted() {
    let text = include_str!("../../../deploy/operator.textproto");
    let operator = parse(text).unwrap();
    assert!(operator.statements.unwrap().rule.len() > 3);
}

#[test]
fn each_error_names_line_key_value_and_allowed_values() {
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
        // Syntax errors: the text-format parser's message, with a location and key.
        ("log {\n levle: WARN\n}", "2:2: log.levle: "),
        ("log { level: LOUD }", "log.level: "),
        ("log { level: WARN level: INFO }", "log.level"),
        ("log { lines_a_second: \"x\" }", "log.lines_a_second: "),
        ("log {", "1:6: "),
    ];
    for (text, expected) in cases {
        let messages = errors(text);
        assert!(
            messages.iter().any(|error| error.contains(expected)),
            "{expected} in {messages:?}"
        );
    }
}

#[test]
fn all_semantic_errors_are_reported_in_the_order_of_their_lines() {
    let messages = errors(
        "statements { cache { shapes: 3 }\n learning { half_sure: 0 } }\nlog { lines_at_once: 0 }",
    );
    assert_eq!(messages.len(), 3);
    assert!(
        messages[0].starts_with("1:")
            && messages[1].starts_with("2:")
            && messages[2].starts_with("3:"),
        "{messages:?}"
    );
}

#[test]
fn excessive_nesting_is_rejected_without_recursion() {
    let nested = "statements { ".repeat(20_000);
    assert!(errors(&nested)[0].contains("nested too deeply"));
}

proptest! {
    #[test]
    fn parsing_arbitrary_text_never_panics(text in "[a-z_{}<>:\\[\\]\"'#0-9., \n\\PC]{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn parsing_a_truncated_or_altered_example_never_panics(
        length in 0usize..4000, position in 0usize..4000, replacement in any::<char>(),
    ) {
        let text = include_str!("../../../deploy/operator.textproto");
        let mut chars: Vec<char> = text.chars().take(length).collect();
        if let Some(character) = chars.get_mut(position) {
            *character = replacement;
        }
        let _ = parse(&chars.into_iter().collect::<String>());
    }
}
