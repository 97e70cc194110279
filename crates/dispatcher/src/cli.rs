//! The command line of `tansymux`: flags, subcommands and their help texts.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Decides which engine of a pool runs each query, and which queries are rejected at once.
///
/// Exit codes: 0 success, 1 an error was found or the start failed, 2 invalid arguments.
#[derive(Debug, Parser)]
#[command(name = "tansymux", version, propagate_version = true)]
pub struct Cli {
    /// The subcommand; [`Command::Serve`] if absent
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Flags common to all subcommands
    #[command(flatten)]
    pub common: GlobalArgs,
}

// The doc comments of clap's types are the help texts that `tansymux --help` prints.

/// Flags common to all subcommands
#[derive(Debug, Args)]
pub struct GlobalArgs {
    /// The operators' file, in protobuf text format
    #[arg(long, value_name = "FILE", env = "TANSYMUX_OPERATOR", global = true)]
    pub operator: Option<PathBuf>,
    /// Minimum level of log lines; overrides the operators' file
    #[arg(long, value_name = "LEVEL", global = true)]
    pub log_level: Option<LogLevel>,
    /// Format of log lines; overrides the operators' file
    #[arg(long, value_name = "FORMAT", global = true)]
    pub log_format: Option<LogFormat>,
}

/// Minimum level of log lines
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// Failures that should never happen
    Error,
    /// Conditions that an operator may have to act on
    Warn,
    /// State changes: start, reload, shutdown, leadership
    Info,
    /// Each query
    Debug,
}

/// Format of log lines
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Message and fields as text
    Text,
    /// One JSON object per line
    Json,
}

/// The subcommands
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Accepts queries and runs them on engines (the default)
    Serve,
    /// Checks configurations (JSON) and operators' files (protobuf text format) and prints all errors
    Check {
        /// Files of either format; configurations and operators' files are also checked against each other
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Sends a command to a member of the fleet: restart leases, drains, releases, halt and rollback
    ///
    /// Further exit codes: 3 lease refused for a reason that waiting does not remove (a halt, no release to that
    /// version, already restarted, or a member unknown to the end of the wait), or another command refused by a halt; 4
    /// timed out or no leader. Any other refusal exits with 1.
    Fleet(Fleet),
    /// Reads statements and prints one JSON line for each: class, effect, shape, cost and tables
    Classify(Classify),
}

/// The arguments of [`Command::Fleet`].
#[derive(Debug, Args)]
pub struct Fleet {
    /// The member to call; defaults to `fleet.listen` of the operators' file
    #[arg(long, value_name = "ADDRESS", global = true)]
    pub member: Option<SocketAddr>,
    /// The command to send
    #[command(subcommand)]
    pub command: FleetCommand,
}

/// The subcommands of `fleet`
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Prints the leader, the numbers of unavailable members and engines, the halt and the progress of a release
    Status,
    /// Waits for a restart lease; prints its number and the seconds for which it is valid
    Turn {
        /// The version after the restart; defaults to the dispatcher's current version
        #[arg(long, value_name = "VERSION")]
        to: Option<String>,
        /// The dispatcher that restarts; defaults to the member that is called
        #[arg(long, value_name = "NAME")]
        dispatcher: Option<String>,
        /// Maximum wait in seconds
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
        /// Releases only to members at this version; a rollback returns to it
        #[arg(long, value_name = "VERSION")]
        from: Option<String>,
    },
    /// Halts disruptions: no further member or engine may go out of service
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
    /// Evacuates a zone: other zones send it no new queries
    Leave {
        /// The zone's name
        zone: String,
        /// Only checks whether the other zones could carry the load
        #[arg(long)]
        dry_run: bool,
    },
    /// Returns to an evacuated zone, step by step
    Return {
        /// The zone's name
        zone: String,
    },
    /// Lists the zones that are evacuated or returned to: reason, step, granted quota
    Zones,
}

/// Arguments of `classify`
#[derive(Debug, Args)]
pub struct Classify {
    /// Each entry is a statement, not an object with `id` and `statement`
    #[arg(long)]
    pub plain: bool,
    /// Entries end with a NUL byte instead of a newline
    #[arg(long)]
    pub nul: bool,
    /// File with the statements; defaults to standard input
    pub file: Option<PathBuf>,
}
