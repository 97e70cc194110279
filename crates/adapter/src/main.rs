//! Speaks the simulator's wire on standard input and output, for the decisions of `tansymux`.
//!
//! It parses and prints, and decides nothing. Start reading at [`host`], which plays a batch; [`batch`] sorts its lines,
//! [`decode`] turns them into events, [`reply`] prints what was decided. A line that cannot be used ends the program with
//! a message on standard error.

mod batch;
mod decode;
mod error;
mod fields;
mod host;
mod reply;
mod vocabulary;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    let mut batch = Vec::new();
    let mut answer = Vec::new();
    let mut line_number = 0;
    std::panic::set_hook(Box::new(|panic| eprintln!("tansymux-adapter: {panic}")));
    loop {
        batch.clear();
        let first_line = line_number + 1;
        match read_batch(&mut input, &mut batch, &mut line_number) {
            Ok(true) => {}
            Ok(false) => return ExitCode::SUCCESS,
            Err(error) => return fail(line_number, &error),
        }
        answer.clear();
        if let Err(error) = host.answer(&batch, &mut answer) {
            return fail(first_line + error.line, &error);
        }
        if output
            .write_all(&answer)
            .and_then(|()| output.flush())
            .is_err()
        {
            return ExitCode::FAILURE;
        }
    }
}

/// Names a line of the input, counted from 1, and what is wrong with it.
fn fail(line: usize, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("tansymux-adapter: line {line}: {error}");
    ExitCode::FAILURE
}

/// Reads up to and with the `end` line; false at the end of input.
fn read_batch(
    input: &mut impl BufRead,
    batch: &mut Vec<u8>,
    lines: &mut usize,
) -> io::Result<bool> {
    loop {
        let start = batch.len();
        if input.read_until(b'\n', batch)? == 0 {
            if batch.is_empty() {
                return Ok(false);
            }
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the input ends within a batch",
            ));
        }
        *lines += 1;
        if batch.last() == Some(&b'\n') {
            batch.pop();
        }
        if batch.last() == Some(&b'\r') {
            batch.pop();
        }
        let line = &batch[start..];
        if line == b"end" {
            batch.truncate(start);
            return Ok(true);
        }
        if line.is_empty() && start == 0 {
            batch.clear();
            continue;
        }
        batch.push(b'\n');
    }
}
