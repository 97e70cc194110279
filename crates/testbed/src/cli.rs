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

/// The subcommands. Their doc comments are the help texts.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs a load like that at the start of a business quarter, with one engine failing and one draining; exit 1 if a
    /// rule was broken
    Demo {
        #[arg(long, default_value_t = 30.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Service levels: a load that oscillates across all thresholds; exit 1 if a level changed twice within a minute, a
    /// change skipped a level, or a rule was broken
    Levels {
        #[arg(long, default_value_t = 600.0)]
        seconds: f64,
        /// File that the plot is written to (SVG)
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Cuts off and restores one of two zones under three dispatchers, with tiers and without; exit 1 if a rule was
    /// broken
    Halls {
        #[arg(long, default_value_t = 40.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Service levels: time from a step up in load to the change of level, and from the step down to full service
    Reaction {
        #[arg(long, default_value_t = 300.0)]
        seconds: f64,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Service levels: a load that peaks at and above capacity, as at the start of a business quarter, with levels and
    /// without, on the same seeds
    Quarters {
        #[arg(long, default_value_t = 24.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
    /// Runs fleet scenarios on real processes, with a relay on every link; exit 1 if one failed
    Fleet(FleetArgs),
    /// Cuts off one zone, which returns cold, on real processes, in three variants; exit 1 if the agreed variant did
    /// not evacuate or restore the zone, granted shares of more than 1 in total, or left a query without an answer
    Zones(ZonesArgs),
    /// Injects random, overlapping faults into a fleet of real processes and checks the record of the run; exit 1 if a
    /// rule was broken
    Soak(SoakArgs),
    /// Runs fleet scenarios in virtual time, for many seeds; exit 1 if one failed
    FleetVirtual(FleetVirtualArgs),
    /// Statement analysis: accuracy of class and effect on both parts of the corpus
    Accuracy {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of wrong results to show for each part of the corpus
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
    /// Statement analysis: cache hit rate with and without a flood of new shapes
    Cache {
        #[arg(long, default_value_t = 200_000)]
        many: usize,
    },
    /// Statement analysis: time per cache hit and per cache miss
    Time {
        #[arg(long, default_value_t = 200_000)]
        many: usize,
    },
    /// Statement analysis: learned cost compared with true cost
    Learning {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Statement analysis: replays the corpus through the real program, without classes, with true classes and with
    /// guessed classes
    Replay {
        #[arg(long, default_value_t = 15.0)]
        seconds: f64,
        /// Queries per second
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
    /// First seed
    #[arg(long, default_value_t = 1)]
    pub first: u64,
    /// Injects no faults
    #[arg(long)]
    pub calm: bool,
    /// Name of a built-in scenario, for example two-halves or leader-stops
    #[arg(long)]
    pub name: Option<String>,
    /// Supervisors restart without a lease, for comparison
    #[arg(long = "alone")]
    pub uncoordinated: bool,
    /// File with a scenario, in the form that `--show` prints
    #[arg(long)]
    pub file: Option<PathBuf>,
    /// Prints the scenario without running it
    #[arg(long)]
    pub show: bool,
    /// Directory for the processes' logs
    #[arg(long)]
    pub logs: Option<PathBuf>,
}

/// Flags of `soak`.
#[derive(Debug, Args)]
pub struct SoakArgs {
    /// Range of seeds, end excluded
    #[arg(long, default_value = "1..11", value_parser = parse_range)]
    pub seeds: Range<u64>,
    /// Range from which the number of dispatchers of a run is drawn, end included
    #[arg(long, default_value = "10..40", value_parser = parse_range)]
    pub processes: Range<u64>,
    /// Time for which clients send queries (s)
    #[arg(long, default_value_t = 8.0)]
    pub seconds: f64,
    /// Fault families to inject; all by default
    #[arg(long, value_delimiter = ',')]
    pub faults: Vec<FaultFamily>,
    /// Number of concurrent runs
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// Directory for the records and logs of failed runs
    #[arg(long, default_value = "target/soak")]
    pub keep: PathBuf,
    /// Shrinks a failed run: repeats it with fewer faults while it still fails
    #[arg(long)]
    pub shrink: bool,
}

/// A range on the command line does not consist of two numbers.
#[derive(Debug, thiserror::Error)]
#[error("expected two numbers, as in 1..11")]
struct InvalidRange;

fn parse_range(text: &str) -> Result<Range<u64>, InvalidRange> {
    let bounds = text.split_once("..");
    let range = bounds.and_then(|(first, last)| Some(first.parse().ok()?..last.parse().ok()?));
    range.ok_or(InvalidRange)
}

/// Flags of `fleet-virtual`.
#[derive(Debug, Args)]
pub struct FleetVirtualArgs {
    #[arg(long, default_value_t = 5)]
    pub members: usize,
    #[arg(long, default_value_t = 200)]
    pub seeds: u64,
    /// First seed
    #[arg(long, default_value_t = 0)]
    pub first: u64,
    /// Fraction of packets lost on all links during the whole run, in addition to the faults
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    /// Injects no other faults
    #[arg(long)]
    pub calm: bool,
    /// Supervisors restart without a lease, for comparison: broken rules are counted, but the run does not fail
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
    /// First seed
    #[arg(long, default_value_t = 1)]
    pub first: u64,
    /// Fraction of the datagrams between dispatchers that are lost
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    /// Duration of the cut (s)
    #[arg(long, default_value_t = 7.0)]
    pub cut_s: f64,
}
