//! Speaks the simulator's wire on standard input and output. Parses and prints; decides nothing.

mod reply;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = wire::Host::default();
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
            Err(e) => return fail(line_number, &e.to_string()),
        }
        answer.clear();
        if let Err(wrong) = host.answer(&batch, &mut answer) {
            return fail(first_line + wrong.line, &wrong.what);
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

fn fail(line: usize, what: &str) -> ExitCode {
    eprintln!("tansymux-adapter: line {line}: {what}");
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
