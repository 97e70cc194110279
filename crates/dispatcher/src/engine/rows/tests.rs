use super::json_rows;

#[test]
fn rows_come_out_unchanged_and_what_is_no_page_does_not() {
    let json = json_rows("a\t1\tx\"\\\r\nb\t\té\n".as_bytes()).unwrap();
    let read: Vec<Vec<String>> =
        serde_json::from_slice(&[b"[".as_slice(), &json, b"]"].concat()).unwrap();
    assert_eq!(read, [["a", "1", "x\"\\\r"], ["b", "", "é"]]);
    assert_eq!(json_rows(b""), Some(Vec::new()));
    assert_eq!(json_rows(b"\t\t\n"), Some(b"[\"\",\"\",\"\"]".to_vec()));
    for spoilt in [
        b"a\tb\tc".as_slice(),
        b"\xff\t\t\n",
        b"\n",
        b"a\tb\n",
        b"a\tb\tc\td\n",
    ] {
        assert_eq!(json_rows(spoilt), None);
    }
}
