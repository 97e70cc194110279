//! Runs and measurements on loopback: `cargo run --release -p tansymux-testbed -- demo`.

use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tansymux_testbed::fleet::processes::ProcessOptions;
use tansymux_testbed::fleet::zones::ZoneCutPlan;
use tansymux_testbed::fleet::{self, run_seeds, scenario, scenario::Scenario, PlayOptions};
use tansymux_testbed::{demo, levels, measure, program, replay, zone_routing};

/// Stand-ins, faults and measurements for tansymux, all on loopback.
#[derive(Debug, Parser)]
#[command(name = "tansymux-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Half a minute of a quarter start, with one engine failing and one draining; exit 1 if a rule broke
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
    /// One zone is cut and returns cold, on real processes, in three variants; exit 1 if the agreed variant did not leave
    /// it, did not become whole again, gave out more than the whole, or left a query without an answer
    Zones(ZonesArgs),
    /// Fleet scenarios in virtual time, for many seeds; exit 1 if one failed
    FleetVirtual(FleetVirtualArgs),
    /// Statement analysis: accuracy of class and effect on both parts of the corpus
    Accuracy {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many wrong ones are shown of each part
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
    /// Statement analysis: the corpus through the real program, bare, honest and guessed
    Replay {
        #[arg(long, default_value_t = 15.0)]
        seconds: f64,
        #[arg(long, default_value_t = 120.0)]
        rate: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
}

#[derive(Debug, Args)]
struct FleetArgs {
    #[arg(long, default_value_t = 5)]
    members: usize,
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// No faults
    #[arg(long)]
    calm: bool,
    /// One of the hard cases, for example two-halves or leader-stops
    #[arg(long)]
    name: Option<String>,
    /// Supervisors restart without a lease, for comparison
    #[arg(long = "alone")]
    uncoordinated: bool,
    /// A scenario from a file, as `--show` prints it
    #[arg(long)]
    file: Option<PathBuf>,
    /// Prints the scenario and does not play it
    #[arg(long)]
    show: bool,
    /// A folder for the processes' logs
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct FleetVirtualArgs {
    #[arg(long, default_value_t = 5)]
    members: usize,
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Loss on all links from the first to the last, locate_program the faults
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// No faults locate_program that
    #[arg(long)]
    calm: bool,
    /// Supervisors restart without a lease, for comparison: what breaks is counted and is no failure
    #[arg(long = "alone")]
    uncoordinated: bool,
    /// Prints a line for each run
    #[arg(long)]
    show: bool,
}

#[derive(Debug, Args)]
struct ZonesArgs {
    #[arg(long, default_value_t = 6)]
    dispatchers: usize,
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first: u64,
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    #[arg(long, default_value_t = 7.0)]
    cut_s: f64,
}

/// Why a scenario could not be had.
#[derive(Debug, thiserror::Error)]
enum ScenarioError {
    #[error(transparent)]
    File(#[from] fleet::ScenarioFileError),
    #[error("{name:?} is none of {}", scenario::NAMES.join(", "))]
    UnknownName { name: String },
}

fn main() -> ExitCode {
    program::end_children_on_signal();
    if execute(Cli::parse().command) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The program under test, built first where cargo runs this.
fn executable() -> PathBuf {
    program::locate_program().unwrap_or_else(|error| {
        eprintln!("tansymux-testbed: {error}");
        std::process::exit(1)
    })
}

/// Prints a table; whether the run passed.
fn show(table: &str, failed: bool) -> bool {
    print!("{table}");
    !failed
}

/// Whether the run passed.
fn execute(command: Command) -> bool {
    match command {
        Command::Demo { seconds, seed } => {
            let report = demo::run(&executable(), seconds, seed, false);
            show(&report.table, !report.violations.is_empty())
        }
        Command::Levels { seconds, svg } => {
            let (table, failed) = levels::swing(&executable(), seconds, svg.as_deref());
            show(&table, failed)
        }
        Command::Halls {
            seconds,
            seeds,
            svg,
        } => {
            let (table, failed) = zone_routing::run(&executable(), seconds, seeds, svg.as_deref());
            show(&table, failed)
        }
        Command::Reaction { seconds, seeds } => {
            show(&levels::reaction(&executable(), seconds, seeds), false)
        }
        Command::Quarters { seconds, seeds } => {
            show(&levels::quarters(&executable(), seconds, seeds), false)
        }
        Command::Fleet(args) => play_fleet(&args),
        Command::FleetVirtual(args) => play_virtual_fleet(&args),
        Command::Zones(args) => play_zone_cut(&args),
        Command::Accuracy { seed, show: shown } => show(&measure::accuracy(seed, shown), false),
        Command::Mutations { many, seed } => {
            let table = measure::mutations(many, seed);
            let failed = table.contains("false: ");
            show(&table, failed)
        }
        Command::Cache { many } => show(&measure::cache(many, 1), false),
        Command::Time { many } => show(&measure::time(many, 1), false),
        Command::Learning { seed } => show(&measure::learning(seed), false),
        Command::Replay {
            seconds,
            rate,
            seeds,
        } => show(&replay::run(&executable(), seconds, rate, seeds), false),
    }
}

impl FleetArgs {
    fn scenario(&self, seed: u64) -> Result<Scenario, ScenarioError> {
        let scenario = match (&self.file, &self.name) {
            (Some(path), _) => fleet::read_scenario(path)?,
            (None, Some(name)) => match Scenario::named(name, seed) {
                Some(scenario) => scenario,
                None => return Err(ScenarioError::UnknownName { name: name.clone() }),
            },
            (None, None) if self.calm => Scenario::calm(seed, self.members),
            (None, None) => Scenario::mixed(seed, self.members),
        };
        Ok(scenario.on_processes())
    }
}

fn play_fleet(args: &FleetArgs) -> bool {
    let mut reports = Vec::new();
    for seed in args.first..args.first + args.seeds {
        let scenario = match args.scenario(seed) {
            Ok(scenario) => scenario,
            Err(error) => {
                eprintln!("tansymux-testbed: {error}");
                return false;
            }
        };
        if args.show {
            let text = serde_json::to_string_pretty(&scenario).unwrap_or_default();
            println!("{text}");
            continue;
        }
        reports.push(play_on_processes(&executable(), args, seed, &scenario));
    }
    print!("{}", fleet::table(&reports, false));
    args.uncoordinated || reports.iter().all(|report| report.violations.is_empty())
}

/// Plays one scenario; for one that failed, prints the command that plays it again.
fn play_on_processes(
    exe: &Path,
    args: &FleetArgs,
    seed: u64,
    scenario: &Scenario,
) -> fleet::FleetReport {
    let options = ProcessOptions {
        uncoordinated: args.uncoordinated,
        logs: args.logs.clone(),
    };
    let report = fleet::processes::play(exe, scenario, &options);
    println!("{}", report.line());
    if !report.violations.is_empty() {
        let members = args.members;
        println!("  again: tansymux-testbed fleet --members {members} --first {seed} --seeds 1");
    }
    report
}

fn play_virtual_fleet(args: &FleetVirtualArgs) -> bool {
    let scenario = |seed| {
        let scenario = if args.calm {
            Scenario::calm(seed, args.members)
        } else {
            Scenario::mixed(seed, args.members)
        };
        if args.loss > 0.0 {
            scenario.with_loss(args.loss)
        } else {
            scenario
        }
    };
    let options = PlayOptions {
        uncoordinated: args.uncoordinated,
        show_all: args.show,
    };
    let outcome = run_seeds(args.first..args.first + args.seeds, scenario, options);
    show(&outcome.table, outcome.failed && !args.uncoordinated)
}

fn play_zone_cut(args: &ZonesArgs) -> bool {
    let plan = |seed| ZoneCutPlan {
        dispatchers: args.dispatchers,
        loss: args.loss,
        cut_for_ms: args.cut_s * 1000.0,
        ..ZoneCutPlan::short(seed)
    };
    let seeds = args.first..args.first + args.seeds;
    let outcome = fleet::zones::compare(&executable(), seeds, plan);
    show(&outcome.table, outcome.failed)
}
