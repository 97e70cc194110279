use super::*;

fn output_lines(input: &[u8], plain: bool, separator_byte: u8) -> Vec<Value> {
    let mut output = Vec::new();
    let format = InputFormat {
        plain,
        separator: separator_byte,
    };
    classify(Config::default(), &mut &input[..], &mut output, format).unwrap();
    output
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect()
}

#[test]
fn every_entry_yields_a_line_in_order_and_a_malformed_entry_does_not_end_the_run() {
    let oversized_entry = format!(
        "{{\"id\":\"5\",\"statement\":\"{}\"}}",
        "x".repeat(MAX_ENTRY_BYTES)
    );
    let input = format!(
        "{{\"id\":\"1\",\"statement\":\"select a from sales_17.orders where b = 1\"}}\nnot JSON\n\
         {{\"id\":3}}\n\n{oversized_entry}\n{{\"id\":\"6\",\"statement\":\"delete from t\"}}"
    );
    let lines = output_lines(input.as_bytes(), false, b'\n');
    let column = |key: &str| {
        lines
            .iter()
            .map(|line| line[key].clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        column("id"),
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
    assert_eq!(column("class"), classes.map(|class| json!(class)));
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
    assert_eq!(output_lines(b"select 1\r\n\xff\n", true, b'\n').len(), 2);
    let lines = output_lines(b"select 1\n, 2\0insert into t\nvalues (1)\0", true, 0);
    assert_eq!(
        lines
            .iter()
            .map(|line| line["effect"].as_str().unwrap())
            .collect::<Vec<_>>(),
        ["read-only", "mutating"]
    );
}
