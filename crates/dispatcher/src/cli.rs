//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Decides which engine of a pool runs each query, and which queries are rejected at once.
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
    /// Calls a member of the fleet: turns, drains, releases, halt and the way back
    Fleet(Fleet),
    /// Reads statements and writes a JSON line for each: class, effect, shape, cost and tables
    Classify(Classify),
}

/// Exit codes beside the others: 3 halted, 4 given up in time or nobody leads.
#[derive(Debug, Args)]
pub struct Fleet {
    /// Which member is called; its own of the operators' file if absent
    #[arg(long, value_name = "ADDRESS", global = true)]
    pub member: Option<SocketAddr>,
    #[command(subcommand)]
    pub command: FleetCommand,
}

#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Who leads, who is out, what is halted, how far a release is
    Status,
    /// Waits until a dispatcher may be out, to be restarted; writes the turn's number and how many seconds it holds
    Turn {
        /// The version that it comes back with; without it, the one that it has
        #[arg(long, value_name = "VERSION")]
        to: Option<String>,
        /// The one that is called if absent
        #[arg(long, value_name = "NAME")]
        dispatcher: Option<String>,
        /// How long it waits at most
        #[arg(long, value_name = "SECONDS", default_value_t = 600.0)]
        wait_s: f64,
    },
    /// Puts an engine out, under the limits
    Drain { engine: String },
    /// Lets it in again
    Undrain { engine: String },
    /// Begins a release
    Release {
        to: String,
        /// Only those at this version, and back to it if it comes to that
        #[arg(long, value_name = "VERSION")]
        from: Option<String>,
    },
    /// Nothing new goes out from now on
    Halt,
    /// Ends the halt that stands
    Resume,
    /// Those that were released go back
    Back,
    /// One that is lost does not come back
    Forget { dispatcher: String },
    /// A zone is left: nothing new goes there from outside it
    Leave {
        zone: String,
        /// Only tells whether the others would carry it
        #[arg(long)]
        dry_run: bool,
    },
    /// A zone that was left is returned to, step by step
    Return { zone: String },
    /// Zones that are left or returned to: why, step, shares given out
    Zones,
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
