//! Tests of shapes and of text that engines interpret differently.

use super::*;

fn shape(statement: &str) -> String {
    Lexer::default().lex(statement.as_bytes()).text.to_owned()
}

#[test]
fn shape_keeps_names_and_drops_literals_case_white_space_and_comments() {
    let expected =
        shape("SELECT a, b FROM sales_17.orders WHERE tag = '3f9c' AND n > 17 -- why\n LIMIT 10");
    assert_eq!(
        expected,
        "select a , b from sales_17 . orders where tag = '?' and n > 0 limit 0"
    );
    for same in [
        "select A,B from SALES_17.Orders where tag='x''y' and n>1.5e-3 limit 2",
        "select a/* x */, b\nfrom sales_17 .orders where tag = N'q' and n > .5 limit 0x1F",
        "select a,b from sales_17.orders where tag = '' and n >-5 limit 1",
    ] {
        assert_eq!(shape(same), expected, "{same}");
    }
    for other in [
        "select a, b from sales_18.orders where tag = 'x' and n > 1 limit 2",
        "select a, c from sales_17.orders where tag = 'x' and n > 1 limit 2",
        "select a, b from sales_17.orders where tag = 'x' or n > 1 limit 2",
        "select a, b from sales_17.orders where tag = 'x' and n >= 1 limit 2",
        "select a, \"B\" from sales_17.orders where tag = 'x' and n > 1 limit 2",
    ] {
        assert_ne!(shape(other), expected, "{other}");
    }
}

#[test]
fn lists_of_literals_fold_to_one_literal_but_arguments_of_calls_do_not() {
    let short = shape("select * from t where a in (1)");
    assert_eq!(short, "select * from t where a in ( 0 )");
    assert_eq!(shape("select * from t where a in (1, -2,null , 3)"), short);
    let long: Vec<String> = (0..10_000).map(|n| n.to_string()).collect();
    let long = format!("select * from t where a in ({})", long.join(","));
    let mut lexer = Lexer::default();
    let lexed = lexer.lex(long.as_bytes());
    assert_eq!((lexed.text, lexed.unproven), (short.as_str(), None));
    assert_ne!(shape("select f(1)"), shape("select f(1, 2)"));
    assert_ne!(shape("select * from t where a in (1, b)"), short);
    assert_eq!(
        shape("insert into t values (1, 'a'), (2, 'b')"),
        shape("insert into t values (3, 'c')")
    );
    assert_ne!(
        shape("insert into t values (1), (f())"),
        shape("insert into t values (1)")
    );
}

#[test]
fn text_that_engines_interpret_differently_is_unproven() {
    let cases = [
        ("select '\\' or 1", Unproven::Backslash),
        ("select 'a\\'' ", Unproven::Unterminated),
        ("select 'a\\''b'", Unproven::Backslash),
        ("select e'a\\n'", Unproven::Backslash),
        ("select 1 # x", Unproven::HashMark),
        ("select 1 --x", Unproven::Dashes),
        ("select 1 -- x\ry\n", Unproven::BareLineEnd),
        ("select /*! 1 */ 2", Unproven::ExecutableComment),
        ("select /*M!100 1 */ 2", Unproven::ExecutableComment),
        ("select /* a /* b */ c */ 2", Unproven::NestedComment),
        ("select /*T![x] 1 */ 2", Unproven::ExecutableComment),
        ("select /*/ 1 /**/ 2", Unproven::NestedComment),
        ("select /* a /*/ b */ 2", Unproven::NestedComment),
        ("select 1 /* a */* 2", Unproven::NestedComment),
        ("select 1 -- x\u{b}y", Unproven::LineSeparator),
        ("select 1 -- x\u{2028}y", Unproven::LineSeparator),
        ("select 1 -- x\u{85}y", Unproven::LineSeparator),
        ("select a [x'], 1 ']", Unproven::Bracket),
        ("select a [ -- ]\n 1]", Unproven::Bracket),
        ("select a [[1]]", Unproven::Bracket),
        ("select a [1", Unproven::Bracket),
        ("select '''a'', b", Unproven::TripleQuote),
        ("select q'x', x'", Unproven::LiteralPrefix),
        ("select $$a$$", Unproven::DollarQuote),
        ("select $x$a$x$", Unproven::DollarQuote),
        ("select 'a", Unproven::Unterminated),
        ("select \"a", Unproven::Unterminated),
        ("select /* a", Unproven::Unterminated),
        ("select $a$ b", Unproven::DollarQuote),
        ("s\u{435}lect 1", Unproven::NotAscii),
        ("\u{feff}select 1", Unproven::NotAscii),
        ("select\u{a0}1", Unproven::NotAscii),
        ("select @a", Unproven::Variable),
        ("select a := 1", Unproven::Assignment),
        ("select {fn x()}", Unproven::Brace),
        ("select 1\u{b}", Unproven::ControlByte),
        ("select a |+ b", Unproven::Operator),
        ("select 1a", Unproven::NumberAndWord),
        ("select u&'\\0041'", Unproven::UnicodeEscape),
        ("select \0", Unproven::NotText),
    ];
    for (statement, reason) in cases {
        assert_eq!(
            Lexer::default().lex(statement.as_bytes()).unproven,
            Some(reason),
            "{statement:?}"
        );
    }
    let unambiguous = [
        "select 'a\\n'",
        "select 1 -- x\r\n",
        "select '/*! x */', \"--x\"",
        "select a=-1, b*-c, -d",
        "select 1 /**/ + /***/ 2 /* a / * b **/",
        "select 1 /* a *//* b */",
        "select a[1], b['x'], array[1, 2]",
        "select date'2020-01-01', N'a', x'41', 'it''s'",
    ];
    for statement in unambiguous {
        assert_eq!(
            Lexer::default().lex(statement.as_bytes()).unproven,
            None,
            "{statement:?}"
        );
    }
    assert_eq!(
        Lexer::default().lex(b"select \xff").unproven,
        Some(Unproven::NotText)
    );
}
