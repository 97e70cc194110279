//! The real dispatcher: takes queries from clients over HTTP, lets the decisions choose, and runs them on engines.

mod check;
mod classify;
mod cli;
mod client;
mod clock;
mod config;
mod counters;
mod discovery;
mod dispatcher;
mod dns;
mod engine;
mod fleet;
mod fleet_client;
mod log;
mod net;
mod notify;
mod operator_config;
mod peers;
mod query_registry;
mod service_levels;
mod signals;
mod statement_classifier;
mod statement_shape;
mod zone_routing;

use async_executor::LocalExecutor;
use clap::Parser;
use cli::{Cli, Command, Common};
use dispatcher::Dispatcher;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match &cli.command {
        None | Some(Command::Serve) => serve(cli.common),
        Some(Command::Check { files }) => check::run(files),
        Some(Command::Fleet(how)) => {
            let operator = match operator_config::read_if(cli.common.operator.as_deref()) {
                Ok(operator) => operator,
                Err(faults) => return failed(&faults.join("\ntansymux: ")),
            };
            fleet_client::run(how, &operator).unwrap_or_else(|e| failed(&e))
        }
        Some(Command::Classify(how)) => {
            let operator = match operator_config::read_if(cli.common.operator.as_deref()) {
                Ok(operator) => operator,
                Err(faults) => return failed(&faults.join("\ntansymux: ")),
            };
            match classify::run(how, &operator) {
                Ok(()) => ExitCode::SUCCESS,
                // Whoever read the lines has enough of them.
                Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
                Err(e) => failed(&e.to_string()),
            }
        }
    }
}

fn failed(why: &str) -> ExitCode {
    eprintln!("tansymux: {why}");
    ExitCode::FAILURE
}

fn serve(common: Common) -> ExitCode {
    log::begin();
    // First of all: what is not yet handled ends a process, also a SIGHUP that was meant to have a file read again.
    let signals = match signals::subscribe() {
        Ok(signals) => signals,
        Err(e) => return failed(&format!("signals can't be heard: {e}")),
    };
    let operator = match operator_config::read_if(common.operator.as_deref()) {
        Ok(operator) => operator,
        Err(faults) => return failed(&faults.join("\ntansymux: ")),
    };
    log::set(&common, operator.log.as_ref());
    let config = match config::read() {
        Ok(config) => config,
        Err(e) => return failed(&e),
    };
    let executor = Rc::new(LocalExecutor::new());
    let name = config.name.clone();
    match Dispatcher::start(config, operator, common, executor.clone()) {
        Ok(dispatcher) => {
            tracing::info!(name, "serves");
            async_io::block_on(executor.run(dispatcher.run(signals)));
            log::end();
            ExitCode::SUCCESS
        }
        Err(e) => failed(&e),
    }
}
