use super::*;

fn lines(input: &[u8], plain: bool, end: u8) -> Vec<Value> {
    let mut out = Vec::new();
    let format = InputFormat {
        plain,
        separator: end,
    };
    classify(Config::default(), &mut &input[..], &mut out, format).unwrap();
    out.split(|b| *b == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect()
}

#[test]
fn every_entry_gets_a_line_in_order_and_a_malformed_one_does_not_end_the_run() {
    let long = format!(
        "{{\"id\":\"5\",\"statement\":\"{}\"}}",
        "x".repeat(MAX_ENTRY_BYTES)
    );
    let input = format!(
        "{{\"id\":\"1\",\"statement\":\"select a from sales_17.orders where b = 1\"}}\nnot JSON\n\
         {{\"id\":3}}\n\n{long}\n{{\"id\":\"6\",\"statement\":\"delete from t\"}}"
    );
    let lines = lines(input.as_bytes(), false, b'\n');
    let of = |key: &str| {
        lines
            .iter()
            .map(|line| line[key].clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        of("id"),
        [
            json!("1"),
            Value::Null,
            json!(3),
            Value::Null,
            Value::Null,
            json!("6")
        ]
    );
    let classes = [
        "look-up", "unknown", "unknown", "unknown", "unknown", "load",
    ];
    assert_eq!(of("class"), classes.map(|class| json!(class)));
    assert_eq!(
        (lines[0]["tables"].clone(), lines[0]["error"].clone()),
        (json!(["sales_17.orders"]), Value::Null)
    );
    assert!(
        lines[1..5].iter().all(|line| line["error"].is_string()),
        "{lines:?}"
    );
    assert_eq!(lines[5]["writes"], json!(["t"]));
    assert_eq!(lines[0]["shape"].as_str().unwrap().len(), 32);
}

#[test]
fn plain_lines_and_nul_separated_entries_are_read() {
    assert_eq!(lines(b"select 1\r\n\xff\n", true, b'\n').len(), 2);
    let lines = lines(b"select 1\n, 2\0insert into t\nvalues (1)\0", true, 0);
    assert_eq!(
        lines
            .iter()
            .map(|line| line["effect"].as_str().unwrap())
            .collect::<Vec<_>>(),
        ["read-only", "mutating"]
    );
}
