//! `tansymux-simulator`: runs, compares, plots and replays experiments in virtual time.

use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tansymux_simulator::experiment::{self, ExperimentError};
use tansymux_simulator::schema::Experiment;
use tansymux_simulator::simulation::{self, Outcomes};
use tansymux_simulator::{compare, report};

/// A discrete-event simulator around the real admission controller: runs experiments, compares arms, plots.
#[derive(Debug, Parser)]
#[command(name = "tansymux-simulator", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs all arms and seeds of an experiment; exits with 1 if a rule was broken
    Run {
        /// The experiment file
        file: PathBuf,
        /// The directory for table, JSON lines, plots and page
        #[arg(long)]
        to: Option<PathBuf>,
        /// Number of concurrent runs
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Number of seeds; overrides the experiment file
        #[arg(long)]
        seeds: Option<u32>,
        /// Number of dispatchers; overrides the experiment file
        #[arg(long)]
        dispatchers: Option<u32>,
    },
    /// Compares the arms of earlier runs, read from JSON lines
    Compare {
        /// The file of JSON lines
        file: PathBuf,
    },
    /// Plots one seed of one arm
    Plot {
        /// The experiment file
        file: PathBuf,
        /// The arm, counted from 0
        #[arg(long, default_value_t = 0)]
        // readability: --arm is the program's flag, named like the experiment file's key
        arm: usize,
        /// The seed; defaults to the experiment's first seed
        #[arg(long)]
        seed: Option<u64>,
        /// The SVG file to write
        #[arg(long)]
        svg: PathBuf,
    },
    /// Runs one seed of one arm and prints all of its figures
    Replay {
        /// The experiment file
        file: PathBuf,
        /// The arm, counted from 0
        #[arg(long, default_value_t = 0)]
        // readability: --arm is the program's flag, named like the experiment file's key
        arm: usize,
        /// The seed
        #[arg(long)]
        seed: u64,
    },
}

/// Keys in the JSON lines of the figures that `compare` shows.
const COMPARED_KEYS: [&str; 9] = [
    "in_time", "late", "deferred", "killed", "p99_fast", "spill", "cold", "fell", "broken",
];
/// `replay` shows every fourth sample, which is one per second.
const REPLAY_SAMPLE_STEP: usize = 4;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{}: {source}", path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{}: {source}", path.display())]
    Experiment {
        path: PathBuf,
        source: ExperimentError,
    },
    #[error("no such arm: the experiment has {arms} arms")]
    NoSuchArm { arms: usize },
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Page(#[from] minijinja::Error),
    #[error("{}: {reason}", path.display())]
    Plot { path: PathBuf, reason: String },
}

/// An experiment and its source text.
struct ExperimentFile {
    experiment: Experiment,
    text: String,
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })
}

fn read_experiment(path: &Path) -> Result<ExperimentFile, CommandError> {
    let text = read_file(path)?;
    match experiment::read(&text) {
        Ok(experiment) => Ok(ExperimentFile { experiment, text }),
        Err(source) => Err(CommandError::Experiment {
            path: path.to_owned(),
            source,
        }),
    }
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })
}

fn write_plot(experiment: &Experiment, run: &Outcomes, path: &Path) -> Result<(), CommandError> {
    report::write_svg(experiment, run, path).map_err(|error| CommandError::Plot {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

fn main() -> ExitCode {
    match execute(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("tansymux-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Executes a command. Returns `false` if the checker found a rule violation in a run.
fn execute(command: Command) -> Result<bool, CommandError> {
    match command {
        Command::Run {
            file,
            to,
            threads,
            seeds,
            dispatchers,
        } => {
            let mut file = read_experiment(&file)?;
            file.experiment.seeds = seeds.or(file.experiment.seeds);
            file.experiment.dispatchers = dispatchers.or(file.experiment.dispatchers);
            run_experiment(&file, threads, to.as_deref())
        }
        Command::Compare { file } => {
            print_comparison(&read_file(&file)?)?;
            Ok(true)
        }
        Command::Plot {
            file,
            arm,
            seed,
            svg,
        } => {
            let experiment = read_experiment(&file)?.experiment;
            let seed = seed.unwrap_or(experiment.first_seed());
            let run = simulation::run(&experiment, variant_index(&experiment, arm)?, seed);
            write_plot(&experiment, &run, &svg)?;
            Ok(true)
        }
        Command::Replay { file, arm, seed } => {
            let experiment = read_experiment(&file)?.experiment;
            let run = simulation::run(&experiment, variant_index(&experiment, arm)?, seed);
            println!("{}", serde_json::to_string_pretty(&run)?);
            print_samples(&run);
            Ok(run.violations == 0)
        }
    }
}

/// Runs an experiment, prints its table, and writes its results to a directory if one is given. Returns `false` if the
/// checker found a rule violation in a run.
fn run_experiment(
    file: &ExperimentFile,
    threads: usize,
    to: Option<&Path>,
) -> Result<bool, CommandError> {
    let runs = compare::run_all(&file.experiment, threads, false);
    let table = report::table(&file.experiment, &runs);
    print!("{table}");
    if let Some(directory) = to {
        write_results(directory, file, &runs, &table)?;
    }
    Ok(runs.iter().flatten().all(|run| run.violations == 0))
}

fn variant_index(experiment: &Experiment, arm: usize) -> Result<usize, CommandError> {
    let arms = experiment.arm.len();
    if arm < arms {
        Ok(arm)
    } else {
        Err(CommandError::NoSuchArm { arms })
    }
}

/// Writes the table, the JSON lines, a plot of each variant's first seed, and an HTML page with the experiment, the
/// table and the plots.
fn write_results(
    directory: &Path,
    file: &ExperimentFile,
    runs: &[Vec<Outcomes>],
    table: &str,
) -> Result<(), CommandError> {
    std::fs::create_dir_all(directory).map_err(|source| CommandError::File {
        path: directory.to_owned(),
        source,
    })?;
    let experiment = &file.experiment;
    let name = experiment.name();
    write_file(&directory.join(format!("{name}.txt")), table)?;
    let lines = report::json_lines(runs);
    write_file(&directory.join(format!("{name}.jsonl")), &lines)?;
    let mut plots = Vec::new();
    for run in runs.iter().filter_map(|variant| variant.first()) {
        let svg = directory.join(format!("{name}-{}.svg", run.variant));
        write_plot(experiment, run, &svg)?;
        plots.push(read_file(&svg)?);
    }
    let page = report::html_page(experiment, &file.text, table, &plots)?;
    write_file(&directory.join(format!("{name}.html")), &page)
}

/// Prints the mean of each compared figure for each arm in the JSON lines. Arms keep the order of their first line.
fn print_comparison(text: &str) -> Result<(), CommandError> {
    let mut arms: Vec<(String, Vec<serde_json::Value>)> = Vec::new();
    for line in text.lines() {
        let run: serde_json::Value = serde_json::from_str(line)?;
        let name = run["arm"].as_str().unwrap_or("").to_owned();
        match arms.iter_mut().find(|(arm_name, _)| *arm_name == name) {
            Some((_, runs)) => runs.push(run),
            None => arms.push((name, vec![run])),
        }
    }
    for key in COMPARED_KEYS {
        print!("{key:<10}");
        for (name, runs) in &arms {
            let mean = compare::mean(runs.iter().filter_map(|run| run[key].as_f64()));
            print!("  {name} {:.3} +- {:.3}", mean.mean, mean.half_width);
        }
        println!();
    }
    Ok(())
}

fn print_samples(run: &Outcomes) {
    for sample in run.samples.iter().step_by(REPLAY_SAMPLE_STEP) {
        println!(
            "{:>6.1} s  value {:.3}  rejected {:>4}  threads {:.0?}  spilled {:.0?}",
            sample.at_s,
            sample.value / sample.max_value.max(1e-9),
            sample.rejected,
            sample.threads,
            sample.spilled
        );
    }
}
