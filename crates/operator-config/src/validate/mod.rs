//! Checks that the schema's types cannot express: ranges, references and duplicates. Each block of the file has a
//! module, which is independent of the others.

mod fleet;
mod levels;
mod log;
mod rules;
mod statements;
mod zone_routing;

use crate::error::ConfigError;
use crate::error_collector::ErrorCollector;
use crate::schema::Operator;
use crate::source_location::SourceMap;

/// All errors of a file that follows the schema.
pub(crate) fn validate(operator: &Operator, source_map: &SourceMap) -> Vec<ConfigError> {
    let mut errors = ErrorCollector::new(source_map);
    if let Some(log) = &operator.log {
        log::validate(log, &mut errors);
    }
    if let Some(statements) = &operator.statements {
        statements::validate(statements, &mut errors);
    }
    if let Some(levels) = &operator.levels {
        levels::validate(levels, &mut errors);
    }
    if let Some(zones) = &operator.halls {
        zone_routing::validate(zones, &mut errors);
    }
    if let Some(fleet) = &operator.fleet {
        fleet::validate(fleet, &mut errors);
        if fleet.zones.is_some() && operator.halls.is_none() {
            errors.add(
                "fleet.zones",
                "without halls",
                "a file with a block halls, which configures how a dispatcher detects a failed zone",
            );
        }
    }
    errors.into_errors()
}
