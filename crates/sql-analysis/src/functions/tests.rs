//! Tests of the built-in lists of functions.

use super::*;

#[test]
fn function_lists_are_sorted_and_disjoint() {
    for list in [PURE_FUNCTIONS, EFFECT_FUNCTIONS] {
        assert!(list.is_sorted_by(|a, b| a < b));
    }
    assert!(!PURE_FUNCTIONS
        .iter()
        .any(|name| EFFECT_FUNCTIONS.binary_search(name).is_ok()));
}
