//! Records, whose fields are taken by name and type, and errors with file, position and reason.

use crate::grammar::{self, Field, Located, Quantity, Value};
use crate::MAX_FILE_BYTES;
use std::rc::Rc;
use thiserror::Error;

struct Unit {
    name: &'static str,
    factor: i64,
}

/// Units of durations, in microseconds.
const DURATION_UNITS: [Unit; 4] = [
    Unit { name: "us", factor: 1 },
    Unit { name: "ms", factor: 1_000 },
    Unit { name: "s", factor: 1_000_000 },
    Unit { name: "m", factor: 60_000_000 },
];
/// Units of sizes, in bytes.
const SIZE_UNITS: [Unit; 4] = [
    Unit { name: "B", factor: 1 },
    Unit { name: "KiB", factor: 1 << 10 },
    Unit { name: "MiB", factor: 1 << 20 },
    Unit { name: "GiB", factor: 1 << 30 },
];

/// Why a file is invalid, and where.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{file}:{line}:{column}: {reason}")]
pub struct RecordError {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is invalid at this position.
    pub reason: String,
}

#[derive(Debug)]
struct Source {
    file: String,
    text: String,
}

/// A record whose fields are taken one by one. A field that is left at [`Record::end`] is an error.
#[derive(Debug)]
pub struct Record {
    source: Rc<Source>,
    offset: usize,
    fields: Vec<Field>,
}

impl Record {
    /// Parses the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// Fails if the text is too long, is syntactically invalid, or sets a field twice.
    pub fn read(file: &str, text: &str) -> Result<Record, RecordError> {
        let source = Rc::new(Source { file: file.to_string(), text: text.to_string() });
        if text.len() > MAX_FILE_BYTES {
            return Err(source.error(0, "the file is longer than 1 MiB".into()));
        }
        let fields = grammar::parse_file(text).map_err(|cause| source.error(cause.offset, cause.reason))?;
        Record { source, offset: 0, fields: Vec::new() }.with_fields(fields)
    }

    /// Takes a field that is a record. Like all methods below, returns `None` if the field is not set.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a record, or if a field is set twice in that record.
    pub fn record(&mut self, name: &str) -> Result<Option<Record>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Located { offset, value: Value::Record(fields) }) => {
                Record { source: self.source.clone(), offset, fields: Vec::new() }
                    .with_fields(fields)
                    .map(Some)
            }
            Some(other) => Err(self.type_mismatch(name, "a record in braces", &other)),
        }
    }

    /// Takes a string.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a string.
    pub fn string(&mut self, name: &str) -> Result<Option<String>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Located { value: Value::String(text), .. }) => Ok(Some(text)),
            Some(other) => Err(self.type_mismatch(name, "a string in double quotes", &other)),
        }
    }

    /// Takes a string that is one of `choices`, and returns its index among them.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a string, or not among the choices.
    pub fn one_of(&mut self, name: &str, choices: &[&str]) -> Result<Option<usize>, RecordError> {
        let offset = self.offset_of(name);
        let Some(text) = self.string(name)? else { return Ok(None) };
        let quoted_choices =
            || choices.iter().map(|choice| format!("{choice:?}")).collect::<Vec<_>>().join(", ");
        match choices.iter().position(|choice| *choice == text) {
            Some(index) => Ok(Some(index)),
            None => Err(self
                .source
                .error(offset, format!("{name} must be one of {}, not {text:?}", quoted_choices()))),
        }
    }

    /// Takes a list of strings.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a list of strings.
    pub fn strings(&mut self, name: &str) -> Result<Option<Vec<String>>, RecordError> {
        let items = match self.take(name) {
            None => return Ok(None),
            Some(Located { value: Value::List(items), .. }) => items,
            Some(other) => return Err(self.type_mismatch(name, "a list of strings", &other)),
        };
        let text = |item: Located<Value>| match item.value {
            Value::String(text) => Ok(text),
            _ => Err(self.type_mismatch(name, "a list of strings", &item)),
        };
        items.into_iter().map(text).collect::<Result<_, _>>().map(Some)
    }

    /// Takes `true` or `false`.
    ///
    /// # Errors
    ///
    /// Fails if the field is not `true` or `false`.
    pub fn boolean(&mut self, name: &str) -> Result<Option<bool>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Located { value: Value::Bool(value), .. }) => Ok(Some(value)),
            Some(other) => Err(self.type_mismatch(name, "true or false", &other)),
        }
    }

    /// Takes a whole number without a unit, 0 or more.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a whole number without a unit, or is negative.
    pub fn unsigned(&mut self, name: &str) -> Result<Option<u64>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Located { value: Value::Number(Quantity { count: count @ 0.., unit }), .. })
                if unit.is_empty() =>
            {
                Ok(Some(count as u64))
            }
            Some(other) => Err(self.type_mismatch(name, "a whole number", &other)),
        }
    }

    /// Takes a duration (microseconds).
    ///
    /// # Errors
    ///
    /// Fails if the field is not a number with a unit of time, or is out of range.
    pub fn duration(&mut self, name: &str) -> Result<Option<i64>, RecordError> {
        self.quantity(name, &DURATION_UNITS, "a duration such as 20ms, 3s or 2m")
    }

    /// Takes a size (bytes).
    ///
    /// # Errors
    ///
    /// Fails if the field is not a number with a unit of size, or is out of range.
    pub fn size(&mut self, name: &str) -> Result<Option<i64>, RecordError> {
        self.quantity(name, &SIZE_UNITS, "a size such as 64KiB or 8MiB")
    }

    /// Creates an error about the record as a whole, at the position of the record.
    pub fn error(&self, reason: impl Into<String>) -> RecordError {
        self.source.error(self.offset, reason.into())
    }

    /// Checks that all fields have been taken.
    ///
    /// # Errors
    ///
    /// Fails if a field is left, which means that its name is unknown.
    pub fn end(self) -> Result<(), RecordError> {
        match self.fields.first() {
            None => Ok(()),
            Some(Field { name, .. }) => {
                Err(self.source.error(name.offset, format!("unknown field {:?}", name.value)))
            }
        }
    }

    fn with_fields(mut self, fields: Vec<Field>) -> Result<Record, RecordError> {
        for (index, field) in fields.iter().enumerate() {
            let name = &field.name;
            if fields[..index].iter().any(|other| other.name.value == name.value) {
                return Err(self.source.error(name.offset, format!("field {:?} is set twice", name.value)));
            }
        }
        self.fields = fields;
        Ok(self)
    }

    fn quantity(&mut self, name: &str, units: &[Unit], expected: &str) -> Result<Option<i64>, RecordError> {
        let Some(found) = self.take(name) else { return Ok(None) };
        let amount = match &found.value {
            Value::Number(Quantity { count: 0, unit }) if unit.is_empty() => Some(0),
            Value::Number(Quantity { count: count @ 0.., unit }) => {
                let unit = units.iter().find(|known| known.name == unit);
                unit.and_then(|unit| count.checked_mul(unit.factor))
            }
            _ => None,
        };
        amount.map(Some).ok_or_else(|| self.type_mismatch(name, expected, &found))
    }

    fn take(&mut self, name: &str) -> Option<Located<Value>> {
        let index = self.fields.iter().position(|field| field.name.value == name)?;
        Some(self.fields.remove(index).value)
    }

    fn offset_of(&self, name: &str) -> usize {
        self.fields
            .iter()
            .find(|field| field.name.value == name)
            .map_or(self.offset, |field| field.value.offset)
    }

    fn type_mismatch(&self, name: &str, expected: &str, found: &Located<Value>) -> RecordError {
        self.source.error(found.offset, format!("{name} must be {expected}"))
    }
}

impl Source {
    fn error(&self, offset: usize, reason: String) -> RecordError {
        let before = self.text.get(..offset).unwrap_or(&self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
        RecordError { file: self.file.clone(), line, column, reason }
    }
}
