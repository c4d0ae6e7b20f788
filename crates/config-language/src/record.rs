//! Fields by name and type, with errors that name file, line and reason.

use crate::grammar::{self, Field, Located, Value};
use crate::MAX_FILE_BYTES;
use std::rc::Rc;
use thiserror::Error;

/// Why a file cannot be used: one plain sentence with its place.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{file}:{line}:{column}: {reason}")]
pub struct RecordError {
    /// The file, as it was named.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong there.
    pub reason: String,
}

#[derive(Debug)]
struct Source {
    file: String,
    text: String,
}

/// A record whose fields are asked for one by one. What is left at its [`Record::end`] is nobody's.
#[derive(Debug)]
pub struct Record {
    source: Rc<Source>,
    offset: usize,
    fields: Vec<Field>,
}

impl Record {
    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// Fails if the text is too long, is not in the language, or names a field twice.
    pub fn read(file: &str, text: &str) -> Result<Record, RecordError> {
        let source = Rc::new(Source { file: file.to_string(), text: text.to_string() });
        if text.len() > MAX_FILE_BYTES {
            return Err(source.error(0, "the file is longer than 1 MiB".into()));
        }
        let fields = grammar::file(text).map_err(|cause| source.error(cause.offset, cause.reason))?;
        Record { source, offset: 0, fields: Vec::new() }.with_fields(fields)
    }

    /// The record of this name.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a record, or names a field of its own twice.
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

    /// A string.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a string.
    pub fn string(&mut self, name: &str) -> Result<Option<String>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Located { value: Value::String(text), .. }) => Ok(Some(text)),
            Some(other) => Err(self.type_mismatch(name, "a text in double quotes", &other)),
        }
    }

    /// A string that is one of these; gives its index among them.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a string, or none of the choices.
    pub fn one_of(&mut self, name: &str, choices: &[&str]) -> Result<Option<usize>, RecordError> {
        let offset = self.offset_of(name);
        let Some(text) = self.string(name)? else { return Ok(None) };
        let wanted = || choices.iter().map(|choice| format!("{choice:?}")).collect::<Vec<_>>().join(", ");
        match choices.iter().position(|choice| *choice == text) {
            Some(index) => Ok(Some(index)),
            None => Err(self.source.error(offset, format!("{name} is one of {}, not {text:?}", wanted()))),
        }
    }

    /// A list of strings.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a list of strings.
    pub fn strings(&mut self, name: &str) -> Result<Option<Vec<String>>, RecordError> {
        let found = match self.take(name) {
            None => return Ok(None),
            Some(Located { value: Value::List(items), .. }) => items,
            Some(other) => return Err(self.type_mismatch(name, "a list of texts", &other)),
        };
        let text = |item: Located<Value>| match item.value {
            Value::String(text) => Ok(text),
            _ => Err(self.type_mismatch(name, "a list of texts", &item)),
        };
        found.into_iter().map(text).collect::<Result<_, _>>().map(Some)
    }

    /// `true` or `false`.
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

    /// A whole number without a unit, 0 or more.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a whole number without a unit, or is negative.
    pub fn unsigned(&mut self, name: &str) -> Result<Option<u64>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Located { value: Value::Number(count @ 0.., unit), .. }) if unit.is_empty() => {
                Ok(Some(count as u64))
            }
            Some(other) => Err(self.type_mismatch(name, "a whole number", &other)),
        }
    }

    /// A duration, in microseconds.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a number with a unit of time, or is out of range.
    pub fn duration(&mut self, name: &str) -> Result<Option<i64>, RecordError> {
        let units = [("us", 1), ("ms", 1_000), ("s", 1_000_000), ("m", 60_000_000)];
        self.quantity(name, &units, "a span such as 20ms, 3s or 2m")
    }

    /// A size, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the field is not a number with a unit of size, or is out of range.
    pub fn size(&mut self, name: &str) -> Result<Option<i64>, RecordError> {
        let units = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
        self.quantity(name, &units, "a size such as 64KiB or 8MiB")
    }

    /// An error about this record as a whole.
    pub fn error(&self, reason: impl Into<String>) -> RecordError {
        self.source.error(self.offset, reason.into())
    }

    /// Checks that no other field is in the record.
    ///
    /// # Errors
    ///
    /// Fails if a field is left that was not asked for.
    pub fn end(self) -> Result<(), RecordError> {
        match self.fields.first() {
            None => Ok(()),
            Some(Field { name, .. }) => {
                Err(self.source.error(name.offset, format!("there is no field {:?} here", name.value)))
            }
        }
    }

    fn with_fields(mut self, fields: Vec<Field>) -> Result<Record, RecordError> {
        for (index, field) in fields.iter().enumerate() {
            let name = &field.name;
            if fields[..index].iter().any(|other| other.name.value == name.value) {
                return Err(self.source.error(name.offset, format!("{:?} is set twice", name.value)));
            }
        }
        self.fields = fields;
        Ok(self)
    }

    fn quantity(
        &mut self,
        name: &str,
        units: &[(&str, i64)],
        wanted: &str,
    ) -> Result<Option<i64>, RecordError> {
        let Some(found) = self.take(name) else { return Ok(None) };
        let measured = match &found.value {
            Value::Number(0, unit) if unit.is_empty() => Some(0),
            Value::Number(count @ 0.., unit) => {
                let known = units.iter().find(|(name, _)| name == unit);
                known.and_then(|(_, factor)| count.checked_mul(*factor))
            }
            _ => None,
        };
        measured.map(Some).ok_or_else(|| self.type_mismatch(name, wanted, &found))
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

    fn type_mismatch(&self, name: &str, wanted: &str, found: &Located<Value>) -> RecordError {
        self.source.error(found.offset, format!("{name} is {wanted}"))
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
