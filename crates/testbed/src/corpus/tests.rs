//! The corpus and its oracle.

use super::*;
use std::collections::HashMap;

#[test]
fn the_corpus_is_large_and_its_parts_share_no_form() {
    let all = corpus(8, 8, 1);
    assert!(all.len() >= 3000, "{}", all.len());
    let part_of: HashMap<usize, Part> = all.iter().map(|s| (s.form, s.part)).collect();
    assert!(all.iter().all(|s| part_of[&s.form] == s.part));
    let made = all.iter().filter(|s| s.form >= written().len());
    assert!(
        made.clone().all(|s| !s.statement.contains('%')),
        "a mark was not filled"
    );
    let again = corpus(8, 8, 1);
    assert!(all
        .iter()
        .zip(&again)
        .all(|(a, b)| a.statement == b.statement));
}

#[test]
fn the_oracle_finds_changes_that_one_dialect_shows_and_another_hides() {
    for text in [
        "delete from t",
        "select '\\'; delete from t; -- '",
        "select 1 /*! ; drop table t */",
        "select 1 --x\n; delete from t",
        "select 1 # '\n; delete from t -- '",
        "select $$ ; delete from t $$",
        "select nextval('s')",
    ] {
        assert!(may_change(text.as_bytes()), "{text}");
    }
    for text in [
        "select 'delete from t'",
        "select t.update from t",
        "select 1 -- delete\n",
        "select \"into\"",
    ] {
        assert!(!may_change(text.as_bytes()), "{text}");
    }
}
