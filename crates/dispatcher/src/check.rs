//! `tansymux check`: reports all errors in configurations and operators' files.

use crate::config::{self, with_line_numbers, ConfigError, StartupConfig};
use crate::file::read_text;
use crate::operator_config::{self, check_against_settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tansymux_operator_config::Operator;

/// Files without errors, before operators' files are checked against configurations.
#[derive(Default)]
struct ValidFiles {
    configs: Vec<StartupConfig>,
    /// Operators' files with their paths.
    operators: Vec<(String, Operator)>,
}

/// Runs the command: prints all errors, one per line. The exit code is 1 if there are errors.
pub fn run(files: &[PathBuf]) -> ExitCode {
    let lines = find_errors(files);
    for line in &lines {
        println!("{line}");
    }
    if lines.is_empty() {
        println!("no errors in {} files", files.len());
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

/// Returns the lines to print: the errors in each file, then the mismatches between operators' files and
/// configurations.
fn find_errors(files: &[PathBuf]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut valid = ValidFiles::default();
    for path in files {
        check_file(path, &mut valid, &mut lines);
    }
    for config in &valid.configs {
        for (path, operator) in &valid.operators {
            if let Err(errors) = check_against_settings(operator, &config.settings) {
                lines.extend(errors.0.iter().map(|error| format!("{path}: {error}")));
            }
        }
    }
    lines
}

/// Checks one file. A file that begins with a brace is a configuration, any other an operators' file.
fn check_file(path: &Path, valid: &mut ValidFiles, lines: &mut Vec<String>) {
    let name = path.display().to_string();
    let text = match read_text(&name, config::MAX_CONFIG_BYTES) {
        Ok(text) => text,
        Err(error) => {
            lines.push(error.to_string());
            return;
        }
    };
    if text.trim_start().starts_with('{') {
        match config::parse(&text, None) {
            Ok(config) => valid.configs.push(config),
            Err(errors) => {
                for error in with_line_numbers(errors, &text) {
                    lines.push(error_line(&name, error));
                }
            }
        }
    } else {
        match operator_config::read(path) {
            Ok(operator) => valid.operators.push((name, operator)),
            Err(errors) => lines.extend(errors.0.iter().map(ToString::to_string)),
        }
    }
}

/// Formats an error like a compiler message: `path:line: error`, or `path: error` if the line is unknown.
fn error_line(path: &str, error: ConfigError) -> String {
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
