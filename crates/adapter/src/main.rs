//! Runs the admission controller of `tansymux` for a simulator, whose protocol it speaks on standard input and output.
//!
//! The program only parses and prints; it makes no decisions. Start reading at [`host`], which runs a batch. [`batch`]
//! groups the lines of a batch, [`decode`] turns them into events, [`reply`] writes the decisions, and [`vocabulary`]
//! defines the words of the protocol. An invalid line ends the program with a message on standard error.

mod batch;
mod decode;
mod error;
mod fields;
mod host;
mod reply;
mod vocabulary;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Size of the buffer for standard input.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    let mut batch = Vec::new();
    let mut reply = Vec::new();
    let mut line_number = 0;
    std::panic::set_hook(Box::new(|panic| eprintln!("tansymux-adapter: {panic}")));
    loop {
        batch.clear();
        let first_line = line_number + 1;
        match read_batch(&mut input, &mut batch, &mut line_number) {
            Ok(BatchRead::Complete) => {}
            Ok(BatchRead::EndOfInput) => return ExitCode::SUCCESS,
            Err(error) => return fail(line_number, &error),
        }
        reply.clear();
        if let Err(error) = host.process_batch(&batch, &mut reply) {
            return fail(first_line + error.line, &error);
        }
        if output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .is_err()
        {
            return ExitCode::FAILURE;
        }
    }
}

/// Prints an error with the line number in the input, counted from 1. Returns the exit code for a failure.
fn fail(line: usize, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("tansymux-adapter: line {line}: {error}");
    ExitCode::FAILURE
}

/// The result of [`read_batch`].
enum BatchRead {
    Complete,
    EndOfInput,
}

/// Reads a batch up to the `end` line, which is not part of `batch`. Skips empty lines before the batch, and adds the
/// number of lines read to `line_number`.
///
/// # Errors
/// The input cannot be read, or ends within a batch.
fn read_batch(
    input: &mut impl BufRead,
    batch: &mut Vec<u8>,
    line_number: &mut usize,
) -> io::Result<BatchRead> {
    loop {
        let start = batch.len();
        if input.read_until(b'\n', batch)? == 0 {
            if batch.is_empty() {
                return Ok(BatchRead::EndOfInput);
            }
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the input ends within a batch",
            ));
        }
        *line_number += 1;
        if batch.last() == Some(&b'\n') {
            batch.pop();
        }
        if batch.last() == Some(&b'\r') {
            batch.pop();
        }
        let line = &batch[start..];
        if line == vocabulary::line::END.as_bytes() {
            batch.truncate(start);
            return Ok(BatchRead::Complete);
        }
        if line.is_empty() && start == 0 {
            batch.clear();
            continue;
        }
        batch.push(b'\n');
    }
}
