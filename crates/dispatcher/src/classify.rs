//! `tansymux classify`: reads SQL statements and writes one JSON line per statement, in the order of the input.
//!
//! A malformed entry yields a line with an `error` and does not end the run.

use crate::cli::Classify;
use crate::subsystems::statement_classifier::analysis_settings;
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use tansymux_operator_config::Operator;
use tansymux_sql_analysis::{Config, StatementAnalyzer};

/// Maximum length (bytes) of an entry. A longer entry yields an error, and is skipped up to its separator.
const MAX_ENTRY_BYTES: usize = 256 * 1024;
/// Hash key of shapes, fixed so that a shape has the same id in every run. The key need not be secret, because this
/// command's input is trusted.
const SHAPE_HASH_KEY: [u8; 16] = *b"tansymuxclassify";

/// Error in an entry without a valid statement.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    #[error("the statement is not a string")]
    StatementNotString,
    #[error("the entry has no statement")]
    NoStatement,
    #[error("the entry is longer than {MAX_ENTRY_BYTES} bytes")]
    TooLong,
}

/// Entry of the input: the id for its output line, and its statement.
struct Entry {
    id: Value,
    statement: Result<Vec<u8>, EntryError>,
}

/// Result of [`read_entry`].
enum EntryRead {
    Whole,
    TooLong,
    EndOfInput,
}

/// Format of the input's entries.
#[derive(Debug, Clone, Copy)]
struct InputFormat {
    /// Each entry is a plain statement instead of an object with `id` and `statement`.
    plain: bool,
    /// Byte that ends an entry.
    separator: u8,
}

/// Reads the next entry into `entry`, without its separator.
fn read_entry(
    input: &mut impl BufRead,
    separator: u8,
    entry: &mut Vec<u8>,
) -> io::Result<EntryRead> {
    entry.clear();
    let limit = MAX_ENTRY_BYTES as u64 + 1;
    if input.by_ref().take(limit).read_until(separator, entry)? == 0 {
        return Ok(EntryRead::EndOfInput);
    }
    if entry.last() == Some(&separator) {
        entry.pop();
        return Ok(EntryRead::Whole);
    }
    if entry.len() <= MAX_ENTRY_BYTES {
        return Ok(EntryRead::Whole);
    }
    input.skip_until(separator)?;
    Ok(EntryRead::TooLong)
}

/// Parses an entry. `number` (from 1) is the id of a plain statement.
fn parse_entry(bytes: &[u8], plain: bool, number: usize) -> Entry {
    if plain {
        return Entry {
            id: json!(number.to_string()),
            statement: Ok(bytes.to_vec()),
        };
    }
    let value: Value = match serde_json::from_slice(bytes) {
        Ok(value) => value,
        Err(error) => {
            return Entry {
                id: Value::Null,
                statement: Err(error.into()),
            }
        }
    };
    let statement = match value.get("statement") {
        Some(Value::String(statement)) => Ok(statement.clone().into_bytes()),
        Some(_) => Err(EntryError::StatementNotString),
        None => Err(EntryError::NoStatement),
    };
    Entry {
        id: value.get("id").cloned().unwrap_or(Value::Null),
        statement,
    }
}

/// Returns the output line for an entry. An entry without a valid statement gets the result of an empty statement and
/// its own error.
fn output_line(analyzer: &mut StatementAnalyzer, entry: &Entry) -> Value {
    let (statement, error) = match &entry.statement {
        Ok(statement) => (statement.as_slice(), None),
        Err(error) => (&[][..], Some(error.to_string())),
    };
    let analyzed = analyzer.analyze(statement);
    let estimate = analyzer.estimate(&analyzed, 0.0);
    let analysis = &analyzed.analysis;
    json!({
        "id": entry.id,
        "class": analysis.class.name(),
        "effect": analysis.effect.name(),
        "shape": format!("{:032x}", analyzed.shape_id),
        "cost_ms": estimate.cost_ms,
        "memory_mb": estimate.memory_mb,
        "sure": estimate.confidence,
        "tables": analysis.tables_read,
        "writes": analysis.tables_written,
        "error": error.or_else(|| analysis.reason.clone()),
    })
}

/// Runs the command.
///
/// # Errors
/// The input cannot be read, or the output cannot be written. Lines for earlier entries may have been written.
pub fn run(arguments: &Classify, operator: &Operator) -> io::Result<()> {
    let config = operator
        .statements
        .as_ref()
        .map_or_else(Config::default, analysis_settings);
    let input: Box<dyn Read> = match &arguments.file {
        Some(path) => Box::new(std::fs::File::open(path)?),
        None => Box::new(io::stdin()),
    };
    let format = InputFormat {
        plain: arguments.plain,
        separator: if arguments.nul { 0 } else { b'\n' },
    };
    let mut output = io::BufWriter::new(io::stdout().lock());
    classify(config, &mut BufReader::new(input), &mut output, format)
}

fn classify(
    config: Config,
    input: &mut impl BufRead,
    output: &mut impl Write,
    format: InputFormat,
) -> io::Result<()> {
    let mut analyzer = StatementAnalyzer::new(config, SHAPE_HASH_KEY);
    let mut bytes = Vec::new();
    let mut number = 0;
    loop {
        let entry = match read_entry(input, format.separator, &mut bytes)? {
            EntryRead::EndOfInput => break,
            EntryRead::TooLong => Entry {
                id: Value::Null,
                statement: Err(EntryError::TooLong),
            },
            EntryRead::Whole => {
                if format.separator == b'\n' && bytes.last() == Some(&b'\r') {
                    bytes.pop();
                }
                parse_entry(&bytes, format.plain, number + 1)
            }
        };
        number += 1;
        serde_json::to_writer(&mut *output, &output_line(&mut analyzer, &entry))?;
        output.write_all(b"\n")?;
    }
    output.flush()
}

#[cfg(test)]
mod tests;
