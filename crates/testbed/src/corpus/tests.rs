//! Tests that the corpus is large and reproducible, that its splits share no shape, and that the oracle finds changes
//! hidden in comments and strings.

use super::*;
use std::collections::HashMap;

#[test]
fn corpus_is_large_and_reproducible_and_its_splits_share_no_shape() {
    let first_corpus = corpus(8, 8, 1);
    assert!(first_corpus.len() >= 3000, "{}", first_corpus.len());
    let split_of: HashMap<usize, Split> = first_corpus
        .iter()
        .map(|labelled| (labelled.shape, labelled.split))
        .collect();
    assert!(first_corpus
        .iter()
        .all(|labelled| split_of[&labelled.shape] == labelled.split));
    let generated = first_corpus
        .iter()
        .filter(|labelled| labelled.shape >= handwritten_statements().len());
    assert!(
        generated
            .clone()
            .all(|labelled| !labelled.statement.contains('%')),
        "a placeholder was not filled"
    );
    let second_corpus = corpus(8, 8, 1);
    assert!(first_corpus
        .iter()
        .zip(&second_corpus)
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
        "select 1 /*/ ; delete from t -- */",
        "select 1 /*/ x */ ; delete from t",
        "select [x'] ; delete from t --']",
        "select q'x' || y, x'; delete from t --'",
        "select 1 -- x\u{b}; delete from t",
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
