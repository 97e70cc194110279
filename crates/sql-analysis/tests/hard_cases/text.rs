//! Text that engines interpret differently: comments, quotes, control bytes and characters beyond ASCII.

use crate::{analyzer, assert_effects, assert_none_read_only};
use tansymux_sql_analysis::Effect;

#[test]
fn writes_hidden_behind_comments_and_quotes_are_not_read_only() {
    assert_none_read_only(&[
        "select 1 -- x\n; delete from t",
        "select 1 --x\n; delete from t",
        "select 1 -- x\r; delete from t",
        "/* /* */ delete from t -- */ select 1",
        "select 1 /*! ; delete from t */",
        "select 1 /*!50000 into outfile 'x' */",
        "select 1 /*M! ; delete from t */",
        "select 1 # ; \n ; delete from t",
        "select '\\'; delete from t; -- '",
        "select '\\\\\\'; delete from t; -- '",
        "select \"\\\"; delete from t; -- \"",
        "select $$ $$; delete from t; -- $$",
        "select $a$ $$ $a$; delete from t",
        "select 'a''; delete from t; --",
        "select `a``; delete from t; -- `; delete from t",
        "select e'\\'; delete from t; --'",
        "select 1 from t where a = '\u{2019}; delete from t",
    ]);
}

#[test]
fn unterminated_statements_are_not_proven_read_only() {
    assert_none_read_only(&[
        "select 'a",
        "select \"a",
        "select `a",
        "select /* a",
        "select $$a",
        "select (",
        "select a from (select 1",
        "select 'a''",
        "select 1 /*",
        "select n'",
        "select e'\\'",
        "select 1 /",
        "select [a",
        "select case when 1",
    ]);
}

#[test]
fn nul_bytes_byte_order_marks_invalid_utf8_and_look_alike_letters_are_not_read_only() {
    assert_none_read_only(&[
        "",
        " ",
        ";",
        "-- x",
        "/* x */",
        "select \0",
        "select 1\0; delete from t",
        "\u{feff}select 1",
        "s\u{435}lect 1",
        "select 1 \u{ff1b} delete from t",
        "\u{ff33}ELECT 1",
        "select 1 \u{131}nto t",
        "select * \u{131}NTO x from t",
        "select\u{3000}1",
        "select\u{2028}1",
        "select \u{1b}[2J 1",
    ]);
    for bytes in [
        b"select \xff".as_slice(),
        b"\xfe\xff\0s",
        b"select '\xc3'",
        b"\xef\xbb\xbfselect 1",
    ] {
        assert_ne!(
            analyzer().analyze(bytes).analysis.effect,
            Effect::ReadOnly,
            "{bytes:?}"
        );
    }
}

#[test]
fn quoted_keywords_and_non_ascii_literals_are_proven_read_only() {
    assert_effects(
        Effect::ReadOnly,
        &[
            "select \"delete\", \"into\" from \"update\"",
            "select 'größe', '表' from t where a = '\u{2019}'",
        ],
    );
}
