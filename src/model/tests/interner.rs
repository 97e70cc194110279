//! The indices of names from the settings and from the endpoint list.

use crate::interner::NameInterner;

/// Guards against names that stay for ever after the endpoint list no longer has them.
#[test]
fn names_of_the_endpoint_list_share_an_index_beyond_the_limit() {
    let mut names = NameInterner::default();
    assert_eq!(names.index("from-settings"), 0);
    let indices: Vec<u32> = (0..100_000)
        .map(|name| names.index_listed(&format!("zone-{name}")))
        .collect();
    assert_eq!(indices[..3], [1, 2, 3]);
    assert!(indices.iter().all(|&index| index <= 1024));
    assert_eq!(indices[5000], indices[99_999], "names beyond the limit");
    assert_ne!(indices[5000], 0);
    assert_eq!(names.index_listed("zone-1"), 2, "a name within the limit");
    assert_eq!(names.find("zone-99999"), None);
}
