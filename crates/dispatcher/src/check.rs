//! `tansymux check`: reports every fault of configurations and operators' files.

use crate::config::{self, locate, ConfigError, StartupConfig};
use crate::file::read_text;
use crate::operator_config::{self, check_against_settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tansymux_operator_config::Operator;

/// Files that have no fault of their own.
#[derive(Default)]
struct ValidFiles {
    configs: Vec<StartupConfig>,
    /// With their paths.
    operators: Vec<(String, Operator)>,
}

/// Runs the command: prints all faults, a line each. The exit code is 1 if there are any.
pub fn run(files: &[PathBuf]) -> ExitCode {
    let faults = find_faults(files);
    for fault in &faults {
        println!("{fault}");
    }
    if faults.is_empty() {
        println!("no fault in {} files", files.len());
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

/// The lines to print: faults of each file, then those of operators' files that do not go with the configurations.
fn find_faults(files: &[PathBuf]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut valid = ValidFiles::default();
    for path in files {
        check_file(path, &mut valid, &mut faults);
    }
    for config in &valid.configs {
        for (path, operator) in &valid.operators {
            if let Err(errors) = check_against_settings(operator, &config.settings) {
                faults.extend(errors.0.iter().map(|error| format!("{path}: {error}")));
            }
        }
    }
    faults
}

/// A file that begins with a brace is a configuration, any other an operators' file.
fn check_file(path: &Path, valid: &mut ValidFiles, faults: &mut Vec<String>) {
    let name = path.display().to_string();
    let text = match read_text(&name, config::MAX_CONFIG_BYTES) {
        Ok(text) => text,
        Err(error) => {
            faults.push(error.to_string());
            return;
        }
    };
    if text.trim_start().starts_with('{') {
        match config::parse(&text, None) {
            Ok(config) => valid.configs.push(config),
            Err(errors) => {
                for error in locate(errors, &text) {
                    faults.push(config_fault(&name, error));
                }
            }
        }
    } else {
        match operator_config::read(path) {
            Ok(operator) => valid.operators.push((name, operator)),
            Err(errors) => faults.extend(errors.0.iter().map(ToString::to_string)),
        }
    }
}

/// The line behind the file's name, as compilers write it.
fn config_fault(path: &str, error: ConfigError) -> String {
    match error.line {
        Some(line) => {
            let error = ConfigError {
                line: None,
                ..error
            };
            format!("{path}:{line}: {error}")
        }
        None => format!("{path}: {error}"),
    }
}
