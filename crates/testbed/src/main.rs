//! Runs and measurements on loopback: `cargo run --release -p tansymux-testbed -- demo`.
//!
//! [`cli`] has the flags, [`commands`] one function for each subcommand.

mod cli;
mod commands;

use clap::Parser;
use commands::Outcome;
use std::process::ExitCode;
use tansymux_testbed::program;

fn main() -> ExitCode {
    program::kill_children_on_signal();
    match commands::run(cli::Cli::parse().command) {
        Ok(Outcome::Passed) => ExitCode::SUCCESS,
        Ok(Outcome::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("tansymux-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
