use super::json_rows;

#[test]
fn rows_are_converted_to_json_and_malformed_pages_are_errors() {
    let json = json_rows("a\t1\tx\"\\\r\nb\t\té\n".as_bytes()).unwrap();
    let parsed: Vec<Vec<String>> =
        serde_json::from_slice(&[b"[".as_slice(), &json, b"]"].concat()).unwrap();
    assert_eq!(parsed, [["a", "1", "x\"\\\r"], ["b", "", "é"]]);
    assert_eq!(json_rows(b""), Ok(Vec::new()));
    assert_eq!(json_rows(b"\t\t\n"), Ok(b"[\"\",\"\",\"\"]".to_vec()));
    for malformed in [
        b"a\tb\tc".as_slice(),
        b"\xff\t\t\n",
        b"\n",
        b"a\tb\n",
        b"a\tb\tc\td\n",
    ] {
        assert_eq!(json_rows(malformed).ok(), None);
    }
}
