//! The real dispatcher: takes queries from clients over HTTP, lets the decisions choose, and runs them on engines.

mod client;
mod clock;
mod config;
mod counters;
mod dispatcher;
mod dns;
mod engine;
mod exchange;
mod log;
mod names;
mod net;
mod notify;
mod peers;

use async_executor::LocalExecutor;
use dispatcher::Dispatcher;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let config = match config::read() {
        Ok(config) => config,
        Err(e) => {
            eprintln!("tansymux: {e}");
            return ExitCode::FAILURE;
        }
    };
    let executor = Rc::new(LocalExecutor::new());
    let name = config.name.clone();
    match Dispatcher::start(config, executor.clone()) {
        Ok(dispatcher) => {
            log!("{name} serves");
            async_io::block_on(executor.run(dispatcher.run()));
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("tansymux: {e}");
            ExitCode::FAILURE
        }
    }
}
