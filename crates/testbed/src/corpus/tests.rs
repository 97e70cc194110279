//! The corpus is large, split cleanly and reproducible; the oracle finds hidden changes.

use super::*;
use std::collections::HashMap;

#[test]
fn corpus_is_large_and_its_splits_share_no_shape() {
    let all = corpus(8, 8, 1);
    assert!(all.len() >= 3000, "{}", all.len());
    let split_of: HashMap<usize, Split> = all.iter().map(|s| (s.shape, s.split)).collect();
    assert!(all.iter().all(|s| split_of[&s.shape] == s.split));
    let made = all.iter().filter(|s| s.shape >= written().len());
    assert!(
        made.clone().all(|s| !s.statement.contains('%')),
        "a placeholder was not filled"
    );
    let again = corpus(8, 8, 1);
    assert!(all
        .iter()
        .zip(&again)
        .all(|(a, b)| a.statement == b.statement));
}

#[test]
fn oracle_finds_changes_that_only_some_sql_dialects_execute() {
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
