//! The operators' file: protobuf text format, read and checked.
//!
//! Owns: the schema (`proto/operator.proto`), the defaults beside its fields, and every check that needs the file
//! alone. It never opens a file, never reads the environment and never changes what is in force: `read` takes a
//! text and gives either the whole or all its faults. Start reading at [`read`].

mod check;
mod fleet;
mod levels;
mod place;
mod zone_routing;

pub use fleet::{fleet, number_of};
pub use levels::definition;
use place::Places;
use prost_reflect::{DescriptorPool, DynamicMessage};
use std::fmt;
pub use zone_routing::zones;

/// The schema's messages, generated at build.
#[allow(clippy::all, clippy::pedantic)]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/tansymux.operator.rs"));
}

pub use schema::Operator;

static DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.fds"));

/// The longest file that is read, in bytes.
pub const MAX_BYTES: usize = 1 << 20;

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct Fault {
    /// Line and column, from 1; none where the file as a whole is meant.
    pub at: Option<(usize, usize)>,
    /// The key, as in `statements.rule.1.class`; empty where it could not be told.
    pub key: String,
    /// What was there.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    /// As in `12:3: statements.cache.shapes is 3, allowed is 16 to 1000000`.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some((line, column)) = self.at {
            write!(f, "{line}:{column}: ")?;
        }
        match (self.key.is_empty(), self.allowed.is_empty()) {
            (true, _) => write!(f, "{}", self.found),
            (false, true) => write!(f, "{}: {}", self.key, self.found),
            (false, false) => write!(
                f,
                "{} is {}, allowed is {}",
                self.key, self.found, self.allowed
            ),
        }
    }
}

/// Reads and checks a whole file.
///
/// # Errors
/// All faults that could be found: the first of form (a word, a type or a name that the schema does not know, a
/// field given twice), else all of meaning (ranges, references, duplicates), in the order of their lines.
pub fn read(text: &str) -> Result<Operator, Vec<Fault>> {
    let whole = |found: String| {
        vec![Fault {
            at: None,
            key: String::new(),
            found,
            allowed: String::new(),
        }]
    };
    if text.len() > MAX_BYTES {
        return Err(whole(format!("the file is longer than {MAX_BYTES} bytes")));
    }
    // A descent in the text is a descent on the stack of whoever reads it.
    if let Some(at) = place::too_deep(text) {
        let found = "messages are nested too deeply".into();
        return Err(vec![Fault {
            at: Some(at),
            key: String::new(),
            found,
            allowed: String::new(),
        }]);
    }
    let places = Places::find(text);
    let pool = DescriptorPool::decode(DESCRIPTORS).map_err(|e| whole(e.to_string()))?;
    let descriptor = pool
        .get_message_by_name("tansymux.operator.Operator")
        .ok_or_else(|| whole("the schema holds no Operator".into()))?;
    let message =
        DynamicMessage::parse_text_format(descriptor, text).map_err(|e| vec![of_form(text, &e)])?;
    let operator: Operator = message.transcode_to().map_err(|e| whole(e.to_string()))?;
    let mut faults = check::check(&operator, &places);
    if faults.is_empty() {
        return Ok(operator);
    }
    faults.sort_by_key(|fault| fault.at);
    Err(faults)
}

/// A fault of form as the reader tells it, with its place and the key that stands there.
fn of_form(text: &str, e: &prost_reflect::text_format::ParseError) -> Fault {
    use miette::Diagnostic;
    let offset = e
        .labels()
        .and_then(|mut labels| labels.next())
        .map(|label| label.offset());
    // An error without a label is one of an end that came too early.
    let offset = offset.unwrap_or(text.len());
    let found = std::error::Error::source(e).map_or_else(|| e.to_string(), ToString::to_string);
    let key = Places::find(text).key_at(offset).unwrap_or_default();
    Fault {
        at: Some(place::line_of(text, offset)),
        key,
        found,
        allowed: String::new(),
    }
}
