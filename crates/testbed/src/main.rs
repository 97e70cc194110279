//! Runs and measurements on loopback: `cargo run --release -p tansymux-testbed -- demo`.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tansymux_testbed::fleet::processes::ProcessOptions;
use tansymux_testbed::fleet::zones::ZoneCutPlan;
use tansymux_testbed::fleet::{self, run_seeds, scenario::Scenario, PlayOptions};
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
    /// Half a minute of a quarter start with one engine failing and one draining; exit 1 if a rule broke
    Demo {
        #[arg(long, default_value_t = 30.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Levels: a load that swings around all thresholds; exit 1 if a level changed twice in a minute or a rule broke
    Levels {
        #[arg(long, default_value_t = 600.0)]
        seconds: f64,
        /// Where the plot goes
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Halls: two of them, three dispatchers, one hall cut and restored, with tiers and without; exit 1 if a rule broke
    Halls {
        #[arg(long, default_value_t = 40.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Levels: how long after a step of load they come, and full service after the step back
    Reaction {
        #[arg(long, default_value_t = 300.0)]
        seconds: f64,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Levels: a quarter start beyond capacity, with levels and without, on the same seeds
    Quarters {
        #[arg(long, default_value_t = 24.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
    /// Fleets: scenarios on real processes with a relay on every link; exit 1 if one was broken
    Fleet {
        #[arg(long, default_value_t = 5)]
        members: usize,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// No faults
        #[arg(long)]
        calm: bool,
        /// One of the hard cases, as in two-halves or leader-stops
        #[arg(long)]
        name: Option<String>,
        /// Without agreement, for comparison
        #[arg(long)]
        alone: bool,
        /// A scenario from a file, as `--show` writes it, and not from a seed
        #[arg(long)]
        file: Option<PathBuf>,
        /// Writes the scenario and does not play it
        #[arg(long)]
        show: bool,
        /// A folder for the processes' logs
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// Zones: one is cut and returns cold, on real processes, by three arms; exit 1 if the agreed arm did not leave, did
    /// not become whole again, gave out more than the whole, or left a query without an answer
    Zones {
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
    },
    /// Fleets: scenarios in virtual time, many seeds; exit 1 if one was broken
    FleetVirtual {
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
        /// Without agreement, for comparison; what breaks is counted and no failure
        #[arg(long)]
        alone: bool,
        /// A line for each run
        #[arg(long)]
        show: bool,
    },
    /// Statements: accuracy of class and effect on both parts of the corpus
    Accuracy {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Wrong ones that are shown of each part
        #[arg(long, default_value_t = 0)]
        show: usize,
    },
    /// Statements: random mutations of the corpus, and which were falsely proven; exit 1 if one was
    Mutations {
        #[arg(long, default_value_t = 1_000_000)]
        many: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Statements: hit rate with and without a flood of new shapes
    Cache {
        #[arg(long, default_value_t = 200_000)]
        many: usize,
    },
    /// Statements: time of a hit and of a miss
    Time {
        #[arg(long, default_value_t = 200_000)]
        many: usize,
    },
    /// Statements: learned against true cost
    Learning {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Statements: the corpus through the real program, bare, honest and guessed
    Replay {
        #[arg(long, default_value_t = 15.0)]
        seconds: f64,
        #[arg(long, default_value_t = 120.0)]
        rate: f64,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
}

fn main() -> ExitCode {
    program::kill_children_on_signal();
    let exe = || {
        program::locate_program().unwrap_or_else(|e| {
            eprintln!("tansymux-testbed: {e}");
            std::process::exit(1)
        })
    };
    match Cli::parse().command {
        Command::Demo { seconds, seed } => {
            let report = demo::run(&exe(), seconds, seed, false);
            print!("{}", report.table);
            if !report.violations.is_empty() {
                return ExitCode::FAILURE;
            }
        }
        Command::Levels { seconds, svg } => {
            let (table, broken) = levels::swing(&exe(), seconds, svg.as_deref());
            print!("{table}");
            if broken {
                return ExitCode::FAILURE;
            }
        }
        Command::Halls {
            seconds,
            seeds,
            svg,
        } => {
            let (table, broken) = zone_routing::run(&exe(), seconds, seeds, svg.as_deref());
            print!("{table}");
            if broken {
                return ExitCode::FAILURE;
            }
        }
        Command::Fleet {
            members,
            seeds,
            first,
            calm,
            name,
            alone,
            file,
            show,
            logs,
        } => {
            let of = |seed| match &file {
                Some(path) => fleet::read_scenario(path).map_err(|error| error.to_string()),
                None if name.is_some() => {
                    let name = name.as_deref().unwrap_or_default();
                    let all = fleet::scenario::NAMES.join(", ");
                    Scenario::named(name, seed).ok_or(format!("{name:?} is none of {all}"))
                }
                None if calm => Ok(Scenario::calm(seed, members)),
                None => Ok(Scenario::mixed(seed, members)),
            };
            let options = ProcessOptions {
                uncoordinated: alone,
                logs,
            };
            let mut all = Vec::new();
            for seed in first..first + seeds {
                let scenario = match of(seed) {
                    Ok(scenario) => scenario.on_processes(),
                    Err(e) => {
                        eprintln!("tansymux-testbed: {e}");
                        return ExitCode::FAILURE;
                    }
                };
                if show {
                    println!(
                        "{}",
                        serde_json::to_string_pretty(&scenario).unwrap_or_default()
                    );
                    continue;
                }
                let seen = fleet::processes::play(&exe(), &scenario, &options);
                println!("{}", seen.line());
                if !seen.violations.is_empty() {
                    println!(
                        "  again: tansymux-testbed fleet --members {members} --first {seed} --seeds 1"
                    );
                }
                all.push(seen);
            }
            print!("{}", fleet::table(&all, false));
            if !alone && all.iter().any(|seen| !seen.violations.is_empty()) {
                return ExitCode::FAILURE;
            }
        }
        Command::Zones {
            dispatchers,
            seeds,
            first,
            loss,
            cut_s,
        } => {
            let of = |seed| ZoneCutPlan {
                dispatchers,
                loss,
                cut_for: cut_s * 1000.0,
                ..ZoneCutPlan::short(seed)
            };
            let (table, broken) = fleet::zones::compare(&exe(), first..first + seeds, of);
            print!("{table}");
            if broken {
                return ExitCode::FAILURE;
            }
        }
        Command::FleetVirtual {
            members,
            seeds,
            first,
            loss,
            calm,
            alone,
            show,
        } => {
            let of = |seed| {
                let mixed = if calm {
                    Scenario::calm(seed, members)
                } else {
                    Scenario::mixed(seed, members)
                };
                if loss > 0.0 {
                    mixed.with_loss(loss)
                } else {
                    mixed
                }
            };
            let options = PlayOptions {
                uncoordinated: alone,
                show_all: show,
            };
            let outcome = run_seeds(first..first + seeds, of, options);
            print!("{}", outcome.table);
            if outcome.failed && !alone {
                return ExitCode::FAILURE;
            }
        }
        Command::Reaction { seconds, seeds } => {
            print!("{}", levels::reaction(&exe(), seconds, seeds))
        }
        Command::Quarters { seconds, seeds } => {
            print!("{}", levels::quarters(&exe(), seconds, seeds))
        }
        Command::Accuracy { seed, show } => print!("{}", measure::accuracy(seed, show)),
        Command::Mutations { many, seed } => {
            let table = measure::mutations(many, seed);
            print!("{table}");
            if table.contains("false: ") {
                return ExitCode::FAILURE;
            }
        }
        Command::Cache { many } => print!("{}", measure::cache(many, 1)),
        Command::Time { many } => print!("{}", measure::time(many, 1)),
        Command::Learning { seed } => print!("{}", measure::learning(seed)),
        Command::Replay {
            seconds,
            rate,
            seeds,
        } => print!("{}", replay::run(&exe(), seconds, rate, seeds)),
    }
    ExitCode::SUCCESS
}
