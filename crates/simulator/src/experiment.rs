//! Reads experiments: protobuf text format by the schema in `proto/experiment.proto`.

use crate::schema::{Arm, Class, Experiment, Fault};
use prost_reflect::{DescriptorPool, DynamicMessage};

#[cfg(test)]
mod tests;

static DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/experiment.fds"));
/// The schema's message that holds an experiment.
const EXPERIMENT_MESSAGE: &str = "tansymux.lab.Experiment";
/// The longest run (s).
const MAX_SECONDS: f64 = 7200.0;

/// An error in an experiment's file.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The schema that was built in can't be used.
    #[error("the schema can't be used: {0}")]
    Schema(String),
    /// The text does not conform to the schema; the message names the place.
    #[error("{0}")]
    Text(String),
    /// A required part of the experiment is missing.
    #[error("an experiment has a hall, a class and an arm at the least")]
    Incomplete,
    /// A fault names a zone that the experiment does not have.
    #[error("fault.{0} names a hall that is not there")]
    FaultZone(usize),
    /// A fault does not end after its begin.
    #[error("fault.{0} ends before it begins")]
    FaultTimes(usize),
    /// A class is bound to a zone that the experiment does not have.
    #[error("class.{0}.bound_to is no hall")]
    ClassZone(usize),
    /// A figure of a class is not above 0.
    #[error("class.{0} has a rate, work, threads, target or wait that is not above 0")]
    ClassFigures(usize),
    /// The operators' file of an arm is malformed.
    #[error("arm.{arm}.operator: {errors}")]
    Operator {
        /// The arm's number.
        // readability: arm is the experiment file's own key
        arm: usize,
        /// What is wrong, with places.
        errors: String,
    },
    /// A figure of the experiment is out of its bounds.
    #[error("seconds (up to 7200), dispatchers and seeds are above 0")]
    Bounds,
}

/// Reads an experiment and checks it.
///
/// # Errors
/// What is wrong, with the key.
pub fn read(text: &str) -> Result<Experiment, ExperimentError> {
    let pool = DescriptorPool::decode(DESCRIPTORS)
        .map_err(|error| ExperimentError::Schema(error.to_string()))?;
    let descriptor = pool
        .get_message_by_name(EXPERIMENT_MESSAGE)
        .ok_or_else(|| ExperimentError::Schema("it holds no Experiment".into()))?;
    let message = DynamicMessage::parse_text_format(descriptor, text)
        .map_err(|error| ExperimentError::Text(error.to_string()))?;
    let experiment: Experiment = message
        .transcode_to()
        .map_err(|error| ExperimentError::Text(error.to_string()))?;
    check(&experiment)?;
    Ok(experiment)
}

fn check(experiment: &Experiment) -> Result<(), ExperimentError> {
    let zones: Vec<&str> = experiment.hall.iter().map(|zone| zone.name()).collect();
    if zones.is_empty() || experiment.class.is_empty() || experiment.arm.is_empty() {
        return Err(ExperimentError::Incomplete);
    }
    for (number, fault) in experiment.fault.iter().enumerate() {
        check_fault(number, fault, &zones)?;
    }
    for (number, class) in experiment.class.iter().enumerate() {
        check_class(number, class, &zones)?;
    }
    for (number, arm) in experiment.arm.iter().enumerate() {
        check_variant(number, arm)?;
    }
    let seconds_in_bounds = experiment.seconds() > 0.0 && experiment.seconds() <= MAX_SECONDS;
    if !seconds_in_bounds || experiment.dispatchers() == 0 || experiment.seeds() == 0 {
        return Err(ExperimentError::Bounds);
    }
    Ok(())
}

fn check_fault(number: usize, fault: &Fault, zones: &[&str]) -> Result<(), ExperimentError> {
    let from_unknown = fault
        .from
        .as_ref()
        .is_some_and(|from| !zones.contains(&from.as_str()));
    if !zones.contains(&fault.hall()) || from_unknown {
        return Err(ExperimentError::FaultZone(number));
    }
    let is_not_a_number = fault.begins_s().is_nan() || fault.ends_s().is_nan();
    if is_not_a_number || fault.begins_s() >= fault.ends_s() {
        return Err(ExperimentError::FaultTimes(number));
    }
    Ok(())
}

fn check_class(number: usize, class: &Class, zones: &[&str]) -> Result<(), ExperimentError> {
    let bound_to_unknown = class
        .bound_to
        .as_ref()
        .is_some_and(|zone| !zones.contains(&zone.as_str()));
    if bound_to_unknown {
        return Err(ExperimentError::ClassZone(number));
    }
    let figures = [
        class.rate(),
        class.work_ms(),
        class.threads(),
        class.target_ms(),
        class.wait_ms(),
    ];
    let all_positive = figures
        .iter()
        .all(|figure| *figure > 0.0 && figure.is_finite());
    if all_positive {
        Ok(())
    } else {
        Err(ExperimentError::ClassFigures(number))
    }
}

fn check_variant(number: usize, arm: &Arm) -> Result<(), ExperimentError> {
    match tansymux_operator_config::parse(arm.operator()) {
        Ok(_) => Ok(()),
        Err(errors) => {
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            Err(ExperimentError::Operator {
                arm: number,
                errors: errors.join("; "),
            })
        }
    }
}
