//! Reads the space-separated fields of a line in sequence.

use crate::error::LineError;
use crate::vocabulary::NO_VALUE;
use std::str::{FromStr, SplitN};

/// Microseconds in a millisecond.
pub const US_PER_MS: f64 = 1000.0;

/// The remaining fields of a line.
pub struct Fields<'a>(SplitN<'a, char>);

impl<'a> Fields<'a> {
    /// Splits `text` into at most `max_fields` fields. The last field may contain spaces.
    pub fn new(text: &'a str, max_fields: usize) -> Self {
        Fields(text.splitn(max_fields, ' '))
    }

    /// The next field; an error if it is missing.
    pub fn required(&mut self, name: &str) -> Result<&'a str, LineError> {
        match self.0.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(LineError::Missing {
                field: name.to_owned(),
            }),
        }
    }

    /// The next field; `None` for a field without a value.
    pub fn optional(&mut self, name: &str) -> Result<Option<&'a str>, LineError> {
        let text = self.required(name)?;
        Ok(Some(text).filter(|&text| text != NO_VALUE))
    }

    /// The next field as a number.
    pub fn number<T: FromStr>(&mut self, name: &str) -> Result<T, LineError> {
        parse_number(self.required(name)?, name)
    }

    /// The next field as a number; `None` for a field without a value.
    pub fn optional_number<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, LineError> {
        match self.optional(name)? {
            Some(text) => parse_number(text, name).map(Some),
            None => Ok(None),
        }
    }

    /// The next field as a time: converts the wire's microseconds to milliseconds.
    pub fn millis(&mut self, name: &str) -> Result<f64, LineError> {
        self.number(name).map(to_millis)
    }

    /// The next field as a flag: 1 is true, 0 is false.
    pub fn flag(&mut self, name: &str) -> Result<bool, LineError> {
        match self.required(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(LineError::NotAFlag {
                field: name.to_owned(),
                value: other.to_owned(),
            }),
        }
    }

    /// Checks that no field remains.
    pub fn finish(&mut self) -> Result<(), LineError> {
        match self.0.next() {
            None => Ok(()),
            Some(text) => Err(LineError::UnexpectedField {
                text: text.to_owned(),
            }),
        }
    }
}

/// Converts microseconds to milliseconds.
pub fn to_millis(micros: u64) -> f64 {
    micros as f64 / US_PER_MS
}

/// Parses the text of a field as a number.
pub fn parse_number<T: FromStr>(text: &str, name: &str) -> Result<T, LineError> {
    text.parse().map_err(|_| LineError::NotANumber {
        field: name.to_owned(),
        value: text.to_owned(),
    })
}
