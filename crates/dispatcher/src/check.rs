//! `tansymux check`: names every fault of configurations and operators' files.

use crate::config::{self, located, text_of};
use crate::operator_config;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const MAX_BYTES: u64 = 8 << 20;

/// All faults of these files, each with its file. A file that begins with a brace is a configuration.
pub fn faults(files: &[PathBuf]) -> Vec<String> {
    let mut faults = Vec::new();
    let (mut launches, mut told) = (Vec::new(), Vec::new());
    for path in files {
        let name = path.display().to_string();
        let text = match text_of(&name, MAX_BYTES) {
            Ok(text) => text,
            Err(e) => {
                faults.push(format!("{name}{e}"));
                continue;
            }
        };
        if text.trim_start().starts_with('{') {
            match config::parse(&text, None) {
                Ok(launch) => launches.push((name, launch)),
                Err(wrong) => {
                    faults.extend(located(wrong, &text).iter().map(|wrong| match wrong.line {
                        Some(line) => format!(
                            "{name}:{line}: {}",
                            config::Wrong {
                                line: None,
                                ..wrong.clone()
                            }
                        ),
                        None => format!("{name}: {wrong}"),
                    }))
                }
            }
        } else {
            match operator_config::read(Path::new(path)) {
                Ok(operator) => told.push((name, operator)),
                Err(lines) => faults.extend(lines),
            }
        }
    }
    for (_, launch) in &launches {
        for (name, operator) in &told {
            faults.extend(
                operator_config::unfit(operator, &launch.told)
                    .iter()
                    .map(|fault| format!("{name}: {fault}")),
            );
        }
    }
    faults
}

pub fn run(files: &[PathBuf]) -> ExitCode {
    let faults = faults(files);
    faults.iter().for_each(|fault| println!("{fault}"));
    if faults.is_empty() {
        println!("no fault in {} files", files.len());
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
