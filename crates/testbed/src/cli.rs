//! The command line: subcommands, flags and their defaults.

use clap::{Args, Parser, Subcommand};
use std::ops::Range;
use std::path::PathBuf;
use tansymux_testbed::soak::FaultFamily;

/// Stand-ins, fault injection and measurements for tansymux, on loopback.
#[derive(Debug, Parser)]
#[command(name = "tansymux-testbed", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands; their docs are the help texts.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// The load of a quarter start, with one engine failing and one draining; exit 1 if a rule was broken
    Demo {
        #[arg(long, default_value_t = 30.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Service levels under a load that swings around all thresholds; exit 1 if a level changed twice in a minute or a rule broke
    Levels {
        #[arg(long, default_value_t = 600.0)]
        seconds: f64,
        /// A file for the plot
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Two zones and three dispatchers, one zone cut and restored, with tiers and without; exit 1 if a rule broke
    Halls {
        #[arg(long, default_value_t = 40.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Service levels: how long after a step of load they come, and full service after the step back
    Reaction {
        #[arg(long, default_value_t = 300.0)]
        seconds: f64,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Service levels: a quarter start beyond capacity, with levels and without, on the same seeds
    Quarters {
        #[arg(long, default_value_t = 24.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
    /// Fleet scenarios on real processes, with a relay on every link; exit 1 if one failed
    Fleet(FleetArgs),
    /// One zone is cut and returns cold, on real processes, in three variants; exit 1 if the agreed variant did not evacuate
    /// or restore it, granted shares of more than 1 in total, or left a query without an answer
    Zones(ZonesArgs),
    /// Random faults on a fleet of real processes, several at a time, checked from outside; exit 1 if a rule broke
    Soak(SoakArgs),
    /// Fleet scenarios in virtual time, for many seeds; exit 1 if one failed
    FleetVirtual(FleetVirtualArgs),
    /// Statement analysis: accuracy of class and effect on both parts of the corpus
    Accuracy {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many wrong results are shown of each part
        #[arg(long, default_value_t = 0)]
        show: usize,
    },
    /// Statement analysis: random mutations of the corpus; exit 1 if one was falsely proven read-only
    Mutations {
        #[arg(long, default_value_t = 1_000_000)]
        many: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Statement analysis: hit rate with and without a flood of new shapes
    Cache {
        #[arg(long, default_value_t = 200_000)]
        many: usize,
    },
    /// Statement analysis: time of a hit and of a miss
    Time {
        #[arg(long, default_value_t = 200_000)]
        many: usize,
    },
    /// Statement analysis: learned against true cost
    Learning {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Statement analysis: the corpus through the real program, without classes, with true classes and with guessed ones
    Replay {
        #[arg(long, default_value_t = 15.0)]
        seconds: f64,
        #[arg(long, default_value_t = 120.0)]
        rate: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
}

/// Flags of `fleet`.
#[derive(Debug, Args)]
pub struct FleetArgs {
    #[arg(long, default_value_t = 5)]
    pub members: usize,
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    #[arg(long, default_value_t = 1)]
    pub first: u64,
    /// No faults
    #[arg(long)]
    pub calm: bool,
    /// One of the hard cases, for example two-halves or leader-stops
    #[arg(long)]
    pub name: Option<String>,
    /// Supervisors restart without a lease, for comparison
    #[arg(long = "alone")]
    pub uncoordinated: bool,
    /// A scenario from a file, as `--show` prints it
    #[arg(long)]
    pub file: Option<PathBuf>,
    /// Prints the scenario and does not run it
    #[arg(long)]
    pub show: bool,
    /// A folder for the processes' logs
    #[arg(long)]
    pub logs: Option<PathBuf>,
}

/// Flags of `soak`.
#[derive(Debug, Args)]
pub struct SoakArgs {
    /// Seeds, the last one not included
    #[arg(long, default_value = "1..11", value_parser = parse_range)]
    pub seeds: Range<u64>,
    /// Dispatchers of a run, drawn from here, the last one included
    #[arg(long, default_value = "10..40", value_parser = parse_range)]
    pub processes: Range<u64>,
    /// How long clients send queries (s)
    #[arg(long, default_value_t = 8.0)]
    pub seconds: f64,
    /// The families of faults that are injected; all unless given
    #[arg(long, value_delimiter = ',')]
    pub faults: Vec<FaultFamily>,
    /// Runs at a time
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// A folder for the records and logs of runs that failed
    #[arg(long, default_value = "target/soak")]
    pub keep: PathBuf,
    /// Repeats a failed run with fewer faults, as long as it still fails
    #[arg(long)]
    pub shrink: bool,
}

/// A range on the command line is not two numbers.
#[derive(Debug, thiserror::Error)]
#[error("expected two numbers, as in 1..11")]
struct InvalidRange;

fn parse_range(text: &str) -> Result<Range<u64>, InvalidRange> {
    let numbers = text.split_once("..");
    let range = numbers.and_then(|(first, last)| Some(first.parse().ok()?..last.parse().ok()?));
    range.ok_or(InvalidRange)
}

/// Flags of `fleet-virtual`.
#[derive(Debug, Args)]
pub struct FleetVirtualArgs {
    #[arg(long, default_value_t = 5)]
    pub members: usize,
    #[arg(long, default_value_t = 200)]
    pub seeds: u64,
    #[arg(long, default_value_t = 0)]
    pub first: u64,
    /// Loss on all links from the first to the last, beside the faults
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    /// No faults beside that
    #[arg(long)]
    pub calm: bool,
    /// Supervisors restart without a lease, for comparison: what breaks is counted and is no failure
    #[arg(long = "alone")]
    pub uncoordinated: bool,
    /// Prints a line for each run
    #[arg(long)]
    pub show: bool,
}

/// Flags of `zones`.
#[derive(Debug, Args)]
pub struct ZonesArgs {
    #[arg(long, default_value_t = 6)]
    pub dispatchers: usize,
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    #[arg(long, default_value_t = 1)]
    pub first: u64,
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    #[arg(long, default_value_t = 7.0)]
    pub cut_s: f64,
}
