//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Decides which engine of a pool runs each query, and which queries are deferred at once.
///
/// Exit codes: 0 done, 1 a fault was found or the start failed, 2 the call was wrong.
#[derive(Debug, Parser)]
#[command(name = "tansymux", version, propagate_version = true)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    #[command(flatten)]
    pub common: Common,
}

#[derive(Debug, Args)]
pub struct Common {
    /// The operators' file, in protobuf text format
    #[arg(long, value_name = "FILE", env = "TANSYMUX_OPERATOR", global = true)]
    pub operator: Option<PathBuf>,
    /// The least serious lines of the log; goes before the operators' file
    #[arg(long, value_name = "LEVEL", global = true)]
    pub log_level: Option<LogLevel>,
    /// The form of the log; goes before the operators' file
    #[arg(long, value_name = "FORMAT", global = true)]
    pub log_format: Option<LogFormat>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Takes queries and runs them on engines; what is done without a command, too
    Serve,
    /// Reads configurations (JSON) and operators' files (text format) and names every fault in them
    Check {
        /// Files of either form; with one of each, they are also checked against each other
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Reads statements and writes a JSON line for each: class, effect, shape, cost and tables
    Classify(Classify),
}

#[derive(Debug, Args)]
pub struct Classify {
    /// Each line is a statement, and not an object with `id` and `statement`
    #[arg(long)]
    pub plain: bool,
    /// Entries end with a NUL byte and not with a line end
    #[arg(long)]
    pub nul: bool,
    /// Where statements are read from; standard input if absent
    pub file: Option<PathBuf>,
}
