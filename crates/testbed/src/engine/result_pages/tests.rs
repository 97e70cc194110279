use super::*;

#[test]
fn pages_hold_the_rows_of_the_answer_in_order_and_within_the_protocols_limits() {
    for id in ["00000000000000aa", "ffffffffffffffff"] {
        let pages = numbered_pages(id, 8);
        assert!(pages
            .iter()
            .all(|page| !page.is_empty() && page.len() <= 6000));
        assert!(pages.iter().map(String::len).sum::<usize>() <= 48_000);
        let rows: Vec<Vec<&str>> = pages
            .iter()
            .flat_map(|page| page.lines())
            .map(|line| line.split('\t').collect())
            .collect();
        let answer: serde_json::Value = serde_json::from_str(&numbered_answer(id, 8)).unwrap();
        assert_eq!(answer["data"], serde_json::json!(rows));
    }
}
