//! Tests of the keyword lists.

use super::*;

#[test]
fn keyword_lists_are_sorted_for_binary_search() {
    assert!(NON_FUNCTION_KEYWORDS.is_sorted());
    assert!(SIZED_TYPES.is_sorted());
}

#[test]
fn keywords_of_each_class_are_recognized_and_other_words_are_not() {
    assert_eq!(KeywordClass::of(b"truncate"), KeywordClass::Effect);
    assert_eq!(KeywordClass::of(b"intersect"), KeywordClass::Chaining);
    assert_eq!(KeywordClass::of(b"or"), KeywordClass::Chaining);
    assert_eq!(KeywordClass::of(b"select"), KeywordClass::Other);
    assert_eq!(KeywordClass::of(b"INSERT"), KeywordClass::Other);
    assert_eq!(KeywordClass::of(b""), KeywordClass::Other);
}
