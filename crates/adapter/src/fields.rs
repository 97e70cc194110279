//! The space-separated fields of a line, taken one by one.

use crate::error::LineError;
use std::str::{FromStr, SplitN};

/// What is left of a line's fields.
pub struct Fields<'a>(SplitN<'a, char>);

impl<'a> Fields<'a> {
    /// The fields of `text`. The last of `max_fields` keeps its spaces.
    pub fn new(text: &'a str, max_fields: usize) -> Self {
        Fields(text.splitn(max_fields, ' '))
    }

    /// The next field, which must be there.
    pub fn required(&mut self, name: &str) -> Result<&'a str, LineError> {
        match self.0.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(LineError::Missing {
                field: name.to_owned(),
            }),
        }
    }

    /// The next field, which must be there; `-` stands for no value.
    pub fn optional(&mut self, name: &str) -> Result<Option<&'a str>, LineError> {
        let text = self.required(name)?;
        Ok(Some(text).filter(|&text| text != "-"))
    }

    /// The next field as a number.
    pub fn number<T: FromStr>(&mut self, name: &str) -> Result<T, LineError> {
        parse_number(self.required(name)?, name)
    }

    /// The next field as a number; `-` stands for no value.
    pub fn optional_number<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, LineError> {
        match self.optional(name)? {
            Some(text) => parse_number(text, name).map(Some),
            None => Ok(None),
        }
    }

    /// The next field as a time: whole microseconds on the wire, milliseconds here.
    pub fn millis(&mut self, name: &str) -> Result<f64, LineError> {
        self.number(name).map(to_millis)
    }

    /// The next field as 1 or 0.
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

    /// Checks that nothing is left.
    pub fn finish(&mut self) -> Result<(), LineError> {
        match self.0.next() {
            None => Ok(()),
            Some(text) => Err(LineError::UnexpectedField {
                text: text.to_owned(),
            }),
        }
    }
}

/// A time in microseconds as milliseconds.
pub fn to_millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

/// A field's text as a number.
pub fn parse_number<T: FromStr>(text: &str, name: &str) -> Result<T, LineError> {
    text.parse().map_err(|_| LineError::NotANumber {
        field: name.to_owned(),
        value: text.to_owned(),
    })
}
