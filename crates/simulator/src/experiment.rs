//! Reads experiments in protobuf text format. The schema is `proto/experiment.proto`.

use crate::schema::{Arm, Class, Experiment, Fault};
use prost_reflect::{DescriptorPool, DynamicMessage};

#[cfg(test)]
mod tests;

static DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/experiment.fds"));
/// Name of the schema's message for an experiment.
const EXPERIMENT_MESSAGE: &str = "tansymux.lab.Experiment";
/// Maximum length of a run (s).
const MAX_SECONDS: f64 = 7200.0;

/// An error in an experiment file.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The built-in schema is invalid.
    #[error("invalid built-in schema: {0}")]
    Schema(String),
    /// The text does not conform to the schema. The message gives the position.
    #[error("{0}")]
    Text(String),
    /// The experiment has no zone, no class or no variant.
    #[error("an experiment must have at least one hall, one class and one arm")]
    Incomplete,
    /// A fault names a zone that the experiment does not have.
    #[error("fault.{0} names an unknown hall")]
    UnknownFaultZone(usize),
    /// A fault does not end after its beginning.
    #[error("fault.{0} ends before or when it begins")]
    InvalidFaultTimes(usize),
    /// A class is bound to a zone that the experiment does not have.
    #[error("class.{0}.bound_to names an unknown hall")]
    UnknownClassZone(usize),
    /// A number of a class is not finite or not above 0.
    #[error("class.{0}: rate, work_ms, threads, target_ms and wait_ms must be finite and above 0")]
    InvalidClassNumbers(usize),
    /// The operators' file of a variant is malformed.
    #[error("arm.{arm}.operator: {errors}")]
    Operator {
        /// Index of the variant.
        // readability: arm is the experiment file's own key
        arm: usize,
        /// The errors in the operators' file, with their positions.
        errors: String,
    },
    /// A number of the experiment is out of bounds.
    #[error("seconds (at most 7200), dispatchers and seeds must be above 0")]
    OutOfBounds,
}

/// Parses and validates an experiment.
///
/// # Errors
/// The first error in the text. Its message names the key or gives the position.
pub fn read(text: &str) -> Result<Experiment, ExperimentError> {
    let pool = DescriptorPool::decode(DESCRIPTORS)
        .map_err(|error| ExperimentError::Schema(error.to_string()))?;
    let descriptor = pool
        .get_message_by_name(EXPERIMENT_MESSAGE)
        .ok_or_else(|| ExperimentError::Schema("message Experiment is missing".into()))?;
    let message = DynamicMessage::parse_text_format(descriptor, text)
        .map_err(|error| ExperimentError::Text(error.to_string()))?;
    let experiment: Experiment = message
        .transcode_to()
        .map_err(|error| ExperimentError::Text(error.to_string()))?;
    validate(&experiment)?;
    Ok(experiment)
}

fn validate(experiment: &Experiment) -> Result<(), ExperimentError> {
    let zones: Vec<&str> = experiment.hall.iter().map(|zone| zone.name()).collect();
    if zones.is_empty() || experiment.class.is_empty() || experiment.arm.is_empty() {
        return Err(ExperimentError::Incomplete);
    }
    for (index, fault) in experiment.fault.iter().enumerate() {
        validate_fault(index, fault, &zones)?;
    }
    for (index, class) in experiment.class.iter().enumerate() {
        validate_class(index, class, &zones)?;
    }
    for (index, arm) in experiment.arm.iter().enumerate() {
        validate_variant(index, arm)?;
    }
    let is_length_in_bounds = experiment.seconds() > 0.0 && experiment.seconds() <= MAX_SECONDS;
    if !is_length_in_bounds || experiment.dispatchers() == 0 || experiment.seeds() == 0 {
        return Err(ExperimentError::OutOfBounds);
    }
    Ok(())
}

fn validate_fault(index: usize, fault: &Fault, zones: &[&str]) -> Result<(), ExperimentError> {
    let is_from_unknown = fault
        .from
        .as_ref()
        .is_some_and(|from| !zones.contains(&from.as_str()));
    if !zones.contains(&fault.hall()) || is_from_unknown {
        return Err(ExperimentError::UnknownFaultZone(index));
    }
    let has_nan_time = fault.begins_s().is_nan() || fault.ends_s().is_nan();
    if has_nan_time || fault.begins_s() >= fault.ends_s() {
        return Err(ExperimentError::InvalidFaultTimes(index));
    }
    Ok(())
}

fn validate_class(index: usize, class: &Class, zones: &[&str]) -> Result<(), ExperimentError> {
    let is_bound_to_unknown = class
        .bound_to
        .as_ref()
        .is_some_and(|zone| !zones.contains(&zone.as_str()));
    if is_bound_to_unknown {
        return Err(ExperimentError::UnknownClassZone(index));
    }
    let numbers = [
        class.rate(),
        class.work_ms(),
        class.threads(),
        class.target_ms(),
        class.wait_ms(),
    ];
    let are_all_positive = numbers
        .iter()
        .all(|number| *number > 0.0 && number.is_finite());
    if are_all_positive {
        Ok(())
    } else {
        Err(ExperimentError::InvalidClassNumbers(index))
    }
}

fn validate_variant(index: usize, arm: &Arm) -> Result<(), ExperimentError> {
    match tansymux_operator_config::parse(arm.operator()) {
        Ok(_) => Ok(()),
        Err(errors) => {
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            Err(ExperimentError::Operator {
                arm: index,
                errors: errors.join("; "),
            })
        }
    }
}
