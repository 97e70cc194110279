//! `tansymux-simulator`: experiments in virtual time.

use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tansymux_simulator::schema::Experiment;
use tansymux_simulator::{compare, experiment, report, world};

/// A small emulator round the real decisions: runs experiments, compares arms, plots.
#[derive(Debug, Parser)]
#[command(name = "tansymux-simulator", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Plays all arms and seeds of an experiment; exit 1 if a rule broke
    Run {
        file: PathBuf,
        /// Where table, JSON lines, plots and page go
        #[arg(long)]
        to: Option<PathBuf>,
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Other numbers of seeds and dispatchers than the file's
        #[arg(long)]
        seeds: Option<u32>,
        #[arg(long)]
        dispatchers: Option<u32>,
    },
    /// Compares the arms of runs that were kept as JSON lines
    Compare { file: PathBuf },
    /// Plots one seed of one arm
    Plot {
        file: PathBuf,
        #[arg(long, default_value_t = 0)]
        arm: usize,
        #[arg(long)]
        seed: Option<u64>,
        #[arg(long)]
        svg: PathBuf,
    },
    /// Plays one seed of one arm again and prints all of it
    Replay {
        file: PathBuf,
        #[arg(long, default_value_t = 0)]
        arm: usize,
        #[arg(long)]
        seed: u64,
    },
}

fn read(file: &Path) -> Result<(Experiment, String), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok((
        experiment::read(&text).map_err(|e| format!("{}: {e}", file.display()))?,
        text,
    ))
}

fn main() -> ExitCode {
    match played(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("tansymux-simulator: {e}");
            ExitCode::FAILURE
        }
    }
}

fn arm_of(e: &Experiment, arm: usize) -> Result<usize, String> {
    if arm < e.arm.len() {
        Ok(arm)
    } else {
        Err(format!("there are {} arms", e.arm.len()))
    }
}

fn played(command: Command) -> Result<bool, String> {
    let failed = |e: &dyn std::fmt::Display| e.to_string();
    match command {
        Command::Run {
            file,
            to,
            threads,
            seeds,
            dispatchers,
        } => {
            let (mut e, text) = read(&file)?;
            e.seeds = seeds.or(e.seeds);
            e.dispatchers = dispatchers.or(e.dispatchers);
            let arms = compare::all(&e, threads, false);
            let table = report::table(&e, &arms);
            print!("{table}");
            if let Some(to) = to {
                std::fs::create_dir_all(&to).map_err(|e| failed(&e))?;
                let write = |name: String, text: &str| {
                    std::fs::write(to.join(name), text).map_err(|e| failed(&e))
                };
                write(format!("{}.txt", e.name()), &table)?;
                write(format!("{}.jsonl", e.name()), &report::lines(&arms))?;
                let mut plots = Vec::new();
                for arm in arms.iter().filter_map(|arm| arm.first()) {
                    let svg = to.join(format!("{}-{}.svg", e.name(), arm.arm));
                    report::svg(&e, arm, &svg).map_err(|e| failed(&e))?;
                    plots.push(std::fs::read_to_string(&svg).map_err(|e| failed(&e))?);
                }
                let page = report::page(&e, &text, &table, &plots).map_err(|e| failed(&e))?;
                write(format!("{}.html", e.name()), &page)?;
            }
            Ok(arms.iter().flatten().all(|o| o.broken == 0))
        }
        Command::Compare { file } => {
            let text = std::fs::read_to_string(&file).map_err(|e| failed(&e))?;
            let mut arms: Vec<(String, Vec<serde_json::Value>)> = Vec::new();
            for line in text.lines() {
                let value: serde_json::Value =
                    serde_json::from_str(line).map_err(|e| failed(&e))?;
                let name = value["arm"].as_str().unwrap_or("").to_owned();
                match arms.iter_mut().find(|(known, _)| *known == name) {
                    Some((_, all)) => all.push(value),
                    None => arms.push((name, vec![value])),
                }
            }
            for key in [
                "in_time", "late", "deferred", "killed", "p99_fast", "spill", "cold", "fell",
                "broken",
            ] {
                print!("{key:<10}");
                for (name, all) in &arms {
                    let m = compare::mean(all.iter().filter_map(|value| value[key].as_f64()));
                    print!("  {name} {:.3} +- {:.3}", m.mean, m.half);
                }
                println!();
            }
            Ok(true)
        }
        Command::Plot {
            file,
            arm,
            seed,
            svg,
        } => {
            let (e, _) = read(&file)?;
            let o = world::run(&e, arm_of(&e, arm)?, seed.unwrap_or(e.first_seed()));
            report::svg(&e, &o, &svg).map_err(|e| failed(&e))?;
            Ok(true)
        }
        Command::Replay { file, arm, seed } => {
            let (e, _) = read(&file)?;
            let o = world::run(&e, arm_of(&e, arm)?, seed);
            println!(
                "{}",
                serde_json::to_string_pretty(&o).map_err(|e| failed(&e))?
            );
            for s in o.samples.iter().step_by(4) {
                println!(
                    "{:>6.1} s  value {:.3}  deferred {:>4}  threads {:.0?}  spilled {:.0?}",
                    s.at,
                    s.value / s.most.max(1e-9),
                    s.deferred,
                    s.threads,
                    s.spilled
                );
            }
            Ok(o.broken == 0)
        }
    }
}
