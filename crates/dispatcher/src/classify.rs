//! `tansymux classify`: reads statements and writes a JSON line for each, in order, whatever it reads.

use crate::cli::Classify;
use crate::statement_classifier::settings_of;
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use tansymux_operator_config::Operator;
use tansymux_sql_analysis::{Settings, Statements};

/// The longest entry that is read; what is longer is answered with an error, and its end is looked for.
const MAX_ENTRY: usize = 256 * 1024;
/// Shapes get the same names in every run: nobody attacks this one.
const KEY: [u8; 16] = *b"tansymuxclassify";

/// An entry: its bytes, or that it was too long.
fn entry(from: &mut impl BufRead, end: u8, to: &mut Vec<u8>) -> io::Result<Option<bool>> {
    to.clear();
    let most = MAX_ENTRY as u64 + 1;
    if from.by_ref().take(most).read_until(end, to)? == 0 {
        return Ok(None);
    }
    if to.last() == Some(&end) {
        to.pop();
        return Ok(Some(true));
    }
    if to.len() <= MAX_ENTRY {
        return Ok(Some(true));
    }
    from.skip_until(end)?;
    Ok(Some(false))
}

/// The id and statement of an entry, or what is wrong with it.
fn asked(bytes: &[u8], plain: bool, number: usize) -> (Value, Result<Vec<u8>, String>) {
    if plain {
        return (json!(number.to_string()), Ok(bytes.to_vec()));
    }
    let value: Value = match serde_json::from_slice(bytes) {
        Ok(value) => value,
        Err(e) => return (Value::Null, Err(format!("not JSON: {e}"))),
    };
    let id = value.get("id").cloned().unwrap_or(Value::Null);
    match value.get("statement") {
        Some(Value::String(statement)) => (id, Ok(statement.clone().into_bytes())),
        Some(_) => (id, Err("the statement is not a string".into())),
        None => (id, Err("there is no statement".into())),
    }
}

/// What is said of one entry.
fn told(statements: &mut Statements, id: Value, asked: Result<&[u8], String>) -> Value {
    let (statement, error) = match asked {
        Ok(statement) => (statement, None),
        Err(error) => (&[][..], Some(error)),
    };
    let read = statements.read(statement);
    let estimate = statements.estimate(&read, 0.0);
    let reading = &read.reading;
    json!({
        "id": id,
        "class": reading.class.name(),
        "effect": reading.effect.name(),
        "shape": format!("{:032x}", read.shape),
        "cost_ms": estimate.cost,
        "memory_mb": estimate.memory,
        "sure": estimate.sure,
        "tables": reading.reads,
        "writes": reading.writes,
        "error": error.or_else(|| reading.error.clone()),
    })
}

/// # Errors
/// Reading or writing failed; what was read before was answered.
pub fn run(how: &Classify, operator: &Operator) -> io::Result<()> {
    let settings = operator
        .statements
        .as_ref()
        .map_or_else(Settings::default, settings_of);
    let from: Box<dyn Read> = match &how.file {
        Some(path) => Box::new(std::fs::File::open(path)?),
        None => Box::new(io::stdin()),
    };
    let end = if how.nul { 0 } else { b'\n' };
    classify(
        settings,
        &mut BufReader::new(from),
        &mut io::BufWriter::new(io::stdout().lock()),
        how.plain,
        end,
    )
}

fn classify(
    settings: Settings,
    from: &mut impl BufRead,
    to: &mut impl Write,
    plain: bool,
    end: u8,
) -> io::Result<()> {
    let mut statements = Statements::new(settings, KEY);
    let (mut bytes, mut number) = (Vec::new(), 0);
    while let Some(whole) = entry(from, end, &mut bytes)? {
        number += 1;
        if end == b'\n' && bytes.last() == Some(&b'\r') {
            bytes.pop();
        }
        let (id, statement) = if whole {
            asked(&bytes, plain, number)
        } else {
            (
                Value::Null,
                Err(format!("the entry is longer than {MAX_ENTRY} bytes")),
            )
        };
        let line = told(
            &mut statements,
            id,
            statement.as_deref().map_err(Clone::clone),
        );
        serde_json::to_writer(&mut *to, &line)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lines(input: &[u8], plain: bool, end: u8) -> Vec<Value> {
        let mut out = Vec::new();
        classify(Settings::default(), &mut &input[..], &mut out, plain, end).unwrap();
        out.split(|b| *b == b'\n')
            .filter(|line| !line.is_empty())
            .map(|line| serde_json::from_slice(line).unwrap())
            .collect()
    }

    #[test]
    fn every_entry_gets_a_line_in_order_and_no_bad_one_stops_it() {
        let long = format!(
            "{{\"id\":\"5\",\"statement\":\"{}\"}}",
            "x".repeat(MAX_ENTRY)
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
    fn plain_lines_and_entries_that_end_with_nul() {
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
}
