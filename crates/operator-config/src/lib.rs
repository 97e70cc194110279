//! Parser and validator of the operators' file, which is in protobuf text format.
//!
//! Owns: the schema (`proto/operator.proto`) with the defaults of its fields, every check that needs the file alone
//! (`validate`), and the conversion of the schema's messages into the types of the packages that use them
//! ([`fleet_config`], [`zone_routing_config`], [`service_level_config`]). It never opens a file, reads the environment
//! or applies a configuration: [`parse`] takes a text and returns either the configuration or all errors of the text.
//!
//! Start reading at [`parse`].

mod error;
mod error_collector;
mod fleet;
mod levels;
mod source_location;
mod tokens;
mod units;
mod validate;
mod zone_routing;

pub use error::{ConfigError, ConfigErrorKind, ConfigErrors, SourceLocation};
pub use fleet::{fleet_config, name_hash};
pub use levels::service_level_config;
pub use schema::Operator;
pub use zone_routing::zone_routing_config;

use prost_reflect::text_format::ParseError;
use prost_reflect::{DescriptorPool, DynamicMessage};
use source_location::SourceMap;

/// The schema's messages, generated at build time. Their fields are named like the file's keys.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/tansymux.operator.rs"));
}

/// The compiled schema.
static DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.fds"));
/// The schema's message for the entire file.
const ROOT_MESSAGE: &str = "tansymux.operator.Operator";

/// Maximum length of the file (bytes).
pub const MAX_BYTES: usize = 1 << 20;

/// Parses and checks the text of a file.
///
/// # Errors
/// The first syntax error (an unknown word, type or name, or a repeated field), else all invalid values (ranges,
/// references, duplicates), in the order of their lines.
pub fn parse(text: &str) -> Result<Operator, ConfigErrors> {
    if text.len() > MAX_BYTES {
        return Err(ConfigErrors::of_file(ConfigErrorKind::FileTooLong));
    }
    // The parser recurses into messages, so their depth is checked first.
    if let Some(location) = source_location::first_excessive_nesting(text) {
        let kind = ConfigErrorKind::NestedTooDeeply;
        return Err(ConfigErrors::at(location, String::new(), kind));
    }
    let operator = parse_messages(text)?;
    let errors = validate::validate(&operator, &SourceMap::scan(text));
    match ConfigErrors::sorted(errors) {
        None => Ok(operator),
        Some(errors) => Err(errors),
    }
}

/// Parses a text into the schema's messages, without checking their values.
fn parse_messages(text: &str) -> Result<Operator, ConfigErrors> {
    let schema_error = |message: String| ConfigErrors::of_file(ConfigErrorKind::Schema { message });
    let pool =
        DescriptorPool::decode(DESCRIPTORS).map_err(|error| schema_error(error.to_string()))?;
    let descriptor = pool
        .get_message_by_name(ROOT_MESSAGE)
        .ok_or_else(|| schema_error(format!("the schema has no message {ROOT_MESSAGE}")))?;
    let message = DynamicMessage::parse_text_format(descriptor, text)
        .map_err(|error| syntax_error(text, &error))?;
    message
        .transcode_to()
        .map_err(|error| schema_error(error.to_string()))
}

/// Converts an error of the text-format parser, with its location and the key at that location.
fn syntax_error(text: &str, error: &ParseError) -> ConfigErrors {
    use miette::Diagnostic;
    let first_label = error.labels().and_then(|mut labels| labels.next());
    // An error without a label is an unexpected end of the text.
    let offset = first_label.map_or(text.len(), |label| label.offset());
    let message =
        std::error::Error::source(error).map_or_else(|| error.to_string(), ToString::to_string);
    let key = SourceMap::scan(text).key_at(offset).unwrap_or_default();
    ConfigErrors::at(
        source_location::location_of(text, offset),
        key,
        ConfigErrorKind::Syntax { message },
    )
}
