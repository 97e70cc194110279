#[test]
fn lines_of_keys_and_list_items_are_found() {
    let lines = super::find_key_lines(
        "{\"a\":1,\n\"b\":{\"c\\\"\":\"x:{\",\n\"d\":[1,\n{\"e\":[]},\n2]},\n\"f\":null}",
    );
    for (key, line) in [
        ("a", 1),
        ("b", 2),
        ("b.d", 3),
        ("b.d.0", 3),
        ("b.d.1", 4),
        ("b.d.1.e", 4),
        ("b.d.2", 5),
        ("f", 6),
    ] {
        assert_eq!(lines.get(key), Some(&line), "{key} in {lines:?}");
    }
}
