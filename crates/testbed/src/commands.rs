//! Runs the subcommands; each prints its report on standard output.
//!
//! Start reading at [`run`].

use crate::cli::{Command, FleetArgs, FleetVirtualArgs, SoakArgs, ZonesArgs};
use clap::ValueEnum;
use std::path::{Path, PathBuf};
use tansymux_testbed::fleet::processes::{self, ProcessOptions};
use tansymux_testbed::fleet::scenario::{self, Scenario};
use tansymux_testbed::fleet::zones::ZoneCutPlan;
use tansymux_testbed::fleet::{self, run_seeds, RunOptions, ScenarioFileError};
use tansymux_testbed::program::LocateError;
use tansymux_testbed::soak::{self, FaultFamily, SoakOptions};
use tansymux_testbed::{demo, fault_shim, levels, measure, program, replay, zone_routing};

/// An error that prevented a subcommand from running.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The dispatcher's program could not be built or found.
    #[error(transparent)]
    ProgramNotFound(#[from] LocateError),
    /// `--file` could not be read.
    #[error(transparent)]
    ScenarioFile(#[from] ScenarioFileError),
    /// `--name` is not the name of a scenario.
    #[error("unknown scenario {name:?}, expected one of {}", scenario::NAMES.join(", "))]
    UnknownScenario {
        /// The name that was given.
        name: String,
    },
}

/// Outcome of a subcommand that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All checks passed, or the subcommand has none.
    Passed,
    /// A rule was broken or a limit exceeded; the report names it.
    Failed,
}

impl Outcome {
    fn failed_if(has_failed: bool) -> Self {
        if has_failed {
            Outcome::Failed
        } else {
            Outcome::Passed
        }
    }
}

/// Runs a subcommand and prints its report.
///
/// # Errors
/// The dispatcher's program could not be built or found, or the scenario is unknown or could not be read.
pub fn run(command: Command) -> Result<Outcome, CommandError> {
    match command {
        Command::Demo { seconds, seed } => run_demo(seconds, seed),
        Command::Levels { seconds, svg } => run_levels(seconds, svg.as_deref()),
        Command::Halls {
            seconds,
            seeds,
            svg,
        } => run_zone_routing(seconds, seeds, svg.as_deref()),
        Command::Reaction { seconds, seeds } => Ok(print(&levels::run_load_step(
            &locate_program()?,
            seconds,
            seeds,
        ))),
        Command::Quarters { seconds, seeds } => Ok(print(&levels::run_quarter_starts(
            &locate_program()?,
            seconds,
            seeds,
        ))),
        Command::Fleet(arguments) => run_fleet(&arguments),
        Command::Soak(arguments) => run_soak(&arguments),
        Command::Zones(arguments) => run_zones(&arguments),
        Command::FleetVirtual(arguments) => Ok(run_fleet_virtual(&arguments)),
        Command::Accuracy { seed, show } => Ok(print(&measure::accuracy(seed, show))),
        Command::Mutations { many, seed } => {
            let report = measure::mutation_report(many, seed);
            Ok(print_checked(&report.table, report.has_false_proofs))
        }
        Command::Cache { many } => Ok(print(&measure::cache_table(many, 1))),
        Command::Time { many } => Ok(print(&measure::time_table(many, 1))),
        Command::Learning { seed } => Ok(print(&measure::learning_table(seed))),
        Command::Replay {
            seconds,
            rate,
            seeds,
        } => {
            let program = locate_program()?;
            Ok(print(&replay::run(&program, seconds, rate, seeds)))
        }
    }
}

fn locate_program() -> Result<PathBuf, CommandError> {
    Ok(program::locate_program()?)
}

fn print(table: &str) -> Outcome {
    print_checked(table, false)
}

fn print_checked(table: &str, has_failed: bool) -> Outcome {
    print!("{table}");
    Outcome::failed_if(has_failed)
}

fn run_demo(seconds: f64, seed: u64) -> Result<Outcome, CommandError> {
    let report = demo::run(&locate_program()?, seconds, seed, false);
    Ok(print_checked(&report.table, !report.violations.is_empty()))
}

fn run_levels(seconds: f64, svg: Option<&Path>) -> Result<Outcome, CommandError> {
    let (table, has_failed) = levels::run_oscillating_load(&locate_program()?, seconds, svg);
    Ok(print_checked(&table, has_failed))
}

fn run_zone_routing(seconds: f64, seeds: u64, svg: Option<&Path>) -> Result<Outcome, CommandError> {
    let (table, has_failed) = zone_routing::run(&locate_program()?, seconds, seeds, svg);
    Ok(print_checked(&table, has_failed))
}

fn run_fleet(arguments: &FleetArgs) -> Result<Outcome, CommandError> {
    let options = ProcessOptions {
        uncoordinated: arguments.uncoordinated,
        logs: arguments.logs.clone(),
    };
    let mut reports = Vec::new();
    for seed in arguments.first..arguments.first + arguments.seeds {
        let scenario = fleet_scenario(arguments, seed)?.on_processes();
        if arguments.show {
            let text = serde_json::to_string_pretty(&scenario).unwrap_or_default();
            println!("{text}");
            continue;
        }
        let report = processes::run(&locate_program()?, &scenario, &options);
        println!("{}", report.line());
        if !report.violations.is_empty() {
            println!(
                "  to repeat: tansymux-testbed fleet --members {} --first {seed} --seeds 1",
                arguments.members
            );
        }
        reports.push(report);
    }
    let has_violations = reports.iter().any(|report| !report.violations.is_empty());
    let table = fleet::table(&reports, false);
    Ok(print_checked(
        &table,
        has_violations && !arguments.uncoordinated,
    ))
}

/// The scenario that the flags of `fleet` select: a file takes precedence over a name, a name over `--calm`.
fn fleet_scenario(arguments: &FleetArgs, seed: u64) -> Result<Scenario, CommandError> {
    if let Some(path) = &arguments.file {
        return Ok(fleet::read_scenario(path)?);
    }
    if let Some(name) = &arguments.name {
        return Scenario::named(name, seed)
            .ok_or_else(|| CommandError::UnknownScenario { name: name.clone() });
    }
    Ok(generated_scenario(seed, arguments.members, arguments.calm))
}

fn generated_scenario(seed: u64, members: usize, is_calm: bool) -> Scenario {
    if is_calm {
        Scenario::calm(seed, members)
    } else {
        Scenario::mixed(seed, members)
    }
}

fn run_soak(arguments: &SoakArgs) -> Result<Outcome, CommandError> {
    let families = if arguments.faults.is_empty() {
        FaultFamily::value_variants().to_vec()
    } else {
        arguments.faults.clone()
    };
    let processes = &arguments.processes;
    let report = soak::run(&SoakOptions {
        exe: locate_program()?,
        shim: fault_shim::locate_library()?,
        seeds: arguments.seeds.clone(),
        dispatchers: processes.start as usize..=processes.end as usize,
        seconds: arguments.seconds,
        families,
        jobs: arguments.jobs,
        artifact_dir: arguments.keep.clone(),
        shrink_failures: arguments.shrink,
    });
    Ok(print_checked(&report.table, report.failed_seeds > 0))
}

fn run_zones(arguments: &ZonesArgs) -> Result<Outcome, CommandError> {
    let plan_of = |seed| ZoneCutPlan {
        dispatchers: arguments.dispatchers,
        loss: arguments.loss,
        cut_for_ms: arguments.cut_s * 1000.0,
        ..ZoneCutPlan::short(seed)
    };
    let seeds = arguments.first..arguments.first + arguments.seeds;
    let outcome = fleet::zones::compare(&locate_program()?, seeds, plan_of);
    Ok(print_checked(&outcome.table, outcome.failed))
}

fn run_fleet_virtual(arguments: &FleetVirtualArgs) -> Outcome {
    let scenario_of = |seed| {
        let scenario = generated_scenario(seed, arguments.members, arguments.calm);
        if arguments.loss > 0.0 {
            scenario.with_loss(arguments.loss)
        } else {
            scenario
        }
    };
    let options = RunOptions {
        uncoordinated: arguments.uncoordinated,
        show_all: arguments.show,
    };
    let seeds = arguments.first..arguments.first + arguments.seeds;
    let outcome = run_seeds(seeds, scenario_of, options);
    print_checked(&outcome.table, outcome.failed && !arguments.uncoordinated)
}
