//! The command line of `tansymux`: flags, subcommands and their help texts.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Decides which engine of a pool runs each query, and which queries are rejected at once.
///
/// Exit codes: 0 done, 1 a fault was found or the start failed, 2 the call was wrong.
#[derive(Debug, Parser)]
#[command(name = "tansymux", version, propagate_version = true)]
pub struct Cli {
    /// None: as [`Command::Serve`]
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Flags of all subcommands
    #[command(flatten)]
    pub common: Common,
}

// The doc comments of clap's types are the help texts that `tansymux --help` prints.

/// Flags of all subcommands
#[derive(Debug, Args)]
pub struct Common {
    /// The operators' file, in protobuf text format
    #[arg(long, value_name = "FILE", env = "TANSYMUX_OPERATOR", global = true)]
    pub operator: Option<PathBuf>,
    /// The least serious level that is logged; overrides the operators' file
    #[arg(long, value_name = "LEVEL", global = true)]
    pub log_level: Option<LogLevel>,
    /// The format of the log; overrides the operators' file
    #[arg(long, value_name = "FORMAT", global = true)]
    pub log_format: Option<LogFormat>,
}

/// The least serious level of lines that are written
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// Something failed that should never fail
    Error,
    /// Something that an operator may have to act on
    Warn,
    /// Changes of state: start, reload, shutdown, leadership
    Info,
    /// Each query
    Debug,
}

/// How lines of the log are written
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Message and fields as text
    Text,
    /// A JSON object a line
    Json,
}

/// The subcommands
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Takes queries and runs them on engines; the default without a command
    Serve,
    /// Reads configurations (JSON) and operators' files (text format) and names every fault in them
    Check {
        /// Files of either form; with one of each, they are also checked against each other
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Calls a member of the fleet: restart turns, drains, releases, halt and rollback
    Fleet(Fleet),
    /// Reads statements and writes a JSON line for each: class, effect, shape, cost and tables
    Classify(Classify),
}

/// Exit codes beside the others: 3 halted, 4 timed out or no leader.
#[derive(Debug, Args)]
pub struct Fleet {
    /// The member to call; if absent, the one of the operators' file
    #[arg(long, value_name = "ADDRESS", global = true)]
    pub member: Option<SocketAddr>,
    /// What the member is asked
    #[command(subcommand)]
    pub command: FleetCommand,
}

/// The subcommands of `fleet`
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Leader, members that are out, halt, progress of a release
    Status,
    /// Waits until a dispatcher may restart; prints the turn's number and the seconds that it is valid
    Turn {
        /// The version after the restart; if absent, the one that it has
        #[arg(long, value_name = "VERSION")]
        to: Option<String>,
        /// The dispatcher that restarts; if absent, the member that is called
        #[arg(long, value_name = "NAME")]
        dispatcher: Option<String>,
        /// Longest wait in seconds
        #[arg(long, value_name = "SECONDS", default_value_t = 600.0)]
        wait_s: f64,
    },
    /// Drains an engine, within the disruption budget
    Drain {
        /// The engine's name
        engine: String,
    },
    /// Ends an engine's drain
    Undrain {
        /// The engine's name
        engine: String,
    },
    /// Starts a release
    Release {
        /// The version to release
        to: String,
        /// Only members at this version; a rollback returns to it
        #[arg(long, value_name = "VERSION")]
        from: Option<String>,
    },
    /// Halts: no further member or engine goes out
    Halt,
    /// Ends the halt
    Resume,
    /// Rolls the release back
    Back,
    /// Declares that a lost dispatcher will not come back
    Forget {
        /// The dispatcher's name
        dispatcher: String,
    },
    /// Evacuates a zone: nothing new goes there from outside it
    Leave {
        /// The zone's name
        zone: String,
        /// Only checks whether the other zones would carry the load
        #[arg(long)]
        dry_run: bool,
    },
    /// Returns to an evacuated zone, step by step
    Return {
        /// The zone's name
        zone: String,
    },
    /// Zones that are evacuated or returned to: reason, step, quotas granted
    Zones,
}

/// Arguments of `classify`
#[derive(Debug, Args)]
pub struct Classify {
    /// Each entry is a statement, not an object with `id` and `statement`
    #[arg(long)]
    pub plain: bool,
    /// Entries end with a NUL byte, not with a line end
    #[arg(long)]
    pub nul: bool,
    /// File with the statements; standard input if absent
    pub file: Option<PathBuf>,
}
