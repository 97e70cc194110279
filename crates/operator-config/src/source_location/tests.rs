//! Tests of the locations of keys.

use super::*;

fn at(line: usize, column: usize) -> Option<SourceLocation> {
    Some(SourceLocation { line, column })
}

#[test]
fn location_of_a_key_is_the_position_of_its_name_in_the_text() {
    let text = "log { # level: x\n  level: WARN format: JSON }\nstatements {\n rule { class: LOAD }\n rule {\n  \
                class: REPORT least_joins: 2 }\n path: \"a: b { c\" }";
    let source_map = SourceMap::scan(text);
    assert_eq!(source_map.location("log.level"), at(2, 3));
    assert_eq!(source_map.location("log.format"), at(2, 15));
    assert_eq!(source_map.location("statements.rule.0.class"), at(4, 9));
    assert_eq!(source_map.location("statements.rule.1.class"), at(6, 3));
    assert_eq!(source_map.location("statements.path"), at(7, 2));
    assert_eq!(source_map.location("statements.check"), None);
    assert_eq!(
        source_map.key_at(text.find("least").unwrap()).unwrap(),
        "statements.rule.1.least_joins"
    );
}
