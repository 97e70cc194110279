//! The tansymux program: receives queries from clients over HTTP, places them by the decisions of the admission
//! controller (package `tansymux`), and runs them on engines.
//!
//! It owns sockets, files, the clock and the queries in flight, and makes no decisions about queries itself. Start
//! reading at [`dispatcher`], the driver. [`lifecycle`] has the phases from start to end, [`config`] the startup
//! configuration, [`query_registry`] the queries in flight, [`client`] and [`engine`] the two sides, [`subsystems`]
//! the optional parts such as service levels and zone routing.

mod attempt_end;
mod check;
mod classify;
mod cli;
mod client;
mod client_presence;
mod clock;
mod close_reason;
mod config;
mod counters;
mod discovery;
mod dispatcher;
mod dns;
mod engine;
mod file;
mod fleet_client;
mod guard;
mod ids;
mod ignored_reply;
mod lifecycle;
mod log;
mod net;
mod notify;
mod operator_config;
mod peers;
mod query_registry;
mod signals;
mod statement_shape;
mod subsystems;
mod task_loop;
mod trace;

use async_executor::LocalExecutor;
use clap::Parser;
use cli::{Cli, Command, GlobalArgs};
use config::StartupConfigError;
use dispatcher::{Dispatcher, StartError, StartRetry};
use operator_config::OperatorConfigErrors;
use std::io;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("tansymux: {error}");
            ExitCode::FAILURE
        }
    }
}

/// An error of a command. It is printed, and the program ends with exit code 1.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// Errors of the operators' file, one per line, each with the program's name as prefix.
    #[error("{}", .0.joined_by("\ntansymux: "))]
    OperatorConfig(#[from] OperatorConfigErrors),
    #[error("cannot set signal handlers: {0}")]
    Signals(io::Error),
    #[error(transparent)]
    StartupConfig(#[from] StartupConfigError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Fleet(#[from] fleet_client::FleetClientError),
    #[error(transparent)]
    Classify(io::Error),
}

fn run(cli: Cli) -> Result<ExitCode, CommandError> {
    match &cli.command {
        None | Some(Command::Serve) => serve(cli.common),
        Some(Command::Check { files }) => Ok(check::run(files)),
        Some(Command::Fleet(arguments)) => {
            let operator = operator_config::read_optional(cli.common.operator.as_deref())?;
            Ok(fleet_client::run(arguments, &operator)?)
        }
        Some(Command::Classify(arguments)) => {
            let operator = operator_config::read_optional(cli.common.operator.as_deref())?;
            match classify::run(arguments, &operator) {
                Ok(()) => Ok(ExitCode::SUCCESS),
                // The reader of the output has closed the pipe, as `head` does. This is not an error.
                Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(ExitCode::SUCCESS),
                Err(error) => Err(CommandError::Classify(error)),
            }
        }
    }
}

fn serve(common: GlobalArgs) -> Result<ExitCode, CommandError> {
    log::init();
    // Subscribes first: without a handler, SIGHUP or SIGTERM during startup ends the process immediately.
    let retry = StartRetry::begin();
    let signals = retry
        .run("signals", signals::subscribe)
        .map_err(CommandError::Signals)?;
    let operator = operator_config::read_optional(common.operator.as_deref())?;
    log::configure(&common, operator.log.as_ref());
    let config = config::read()?;
    let executor = Rc::new(LocalExecutor::new());
    let name = config.name.clone();
    let dispatcher = Dispatcher::start(config, &operator, common, executor.clone(), retry)?;
    tracing::info!(name, "serving");
    async_io::block_on(task_loop::run(&executor, dispatcher.run(signals)));
    log::finish();
    Ok(ExitCode::SUCCESS)
}
