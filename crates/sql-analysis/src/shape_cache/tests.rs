//! Tests of the shape cache.

use super::*;
use crate::{Config, Lexer};

#[test]
fn shapes_with_equal_hashes_do_not_share_an_analysis() {
    let mut read_lexer = Lexer::default();
    let mut write_lexer = Lexer::default();
    let read = read_lexer.lex(b"select 1 from t");
    let write = write_lexer.lex(b"delete from t");
    let analyze = |shape: &Shape| Rc::new(crate::analyzer::analyze(shape, &Config::default()));
    let mut cache = ShapeCache::new(64, 1 << 20);
    cache.insert(7, &read, &analyze(&read));
    assert!(cache.get(7, &write).is_none());
    cache.insert(7, &write, &analyze(&write));
    assert!(cache.get(7, &write).is_none());
    assert_eq!(cache.get(7, &read).unwrap().effect, crate::Effect::ReadOnly);
    assert_eq!(cache.counts().collisions, 2);
}
