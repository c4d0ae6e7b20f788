//! Fields by name and type, with errors that name file, line and reason.

use crate::grammar::{self, Field, Place, Value};
use crate::MOST_BYTES;
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
    at: usize,
    fields: Vec<Field>,
}

impl Record {
    /// Reads a file's text.
    pub fn read(file: &str, text: &str) -> Result<Record, RecordError> {
        let source = Rc::new(Source { file: file.to_string(), text: text.to_string() });
        if text.len() > MOST_BYTES {
            return Err(source.error(0, "the file is longer than 1 MiB".into()));
        }
        let fields = grammar::file(text).map_err(|(at, cause)| source.error(at, cause))?;
        Record { source, at: 0, fields: Vec::new() }.with(fields)
    }

    /// The record of this name.
    pub fn record(&mut self, name: &str) -> Result<Option<Record>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Place { at, value: Value::Record(fields) }) => {
                Record { source: self.source.clone(), at, fields: Vec::new() }.with(fields).map(Some)
            }
            Some(other) => Err(self.wrong(name, "a record in braces", &other)),
        }
    }

    /// A text.
    pub fn text(&mut self, name: &str) -> Result<Option<String>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Place { value: Value::Text(text), .. }) => Ok(Some(text)),
            Some(other) => Err(self.wrong(name, "a text in double quotes", &other)),
        }
    }

    /// A text that is one of these.
    pub fn one_of(&mut self, name: &str, choices: &[&str]) -> Result<Option<usize>, RecordError> {
        let at = self.place(name);
        let Some(text) = self.text(name)? else { return Ok(None) };
        let wanted = || choices.iter().map(|choice| format!("{choice:?}")).collect::<Vec<_>>().join(", ");
        match choices.iter().position(|choice| *choice == text) {
            Some(place) => Ok(Some(place)),
            None => Err(self.source.error(at, format!("{name} is one of {}, not {text:?}", wanted()))),
        }
    }

    /// A list of texts.
    pub fn texts(&mut self, name: &str) -> Result<Option<Vec<String>>, RecordError> {
        let found = match self.take(name) {
            None => return Ok(None),
            Some(Place { value: Value::List(items), .. }) => items,
            Some(other) => return Err(self.wrong(name, "a list of texts", &other)),
        };
        let text = |item: Place<Value>| match item.value {
            Value::Text(text) => Ok(text),
            _ => Err(self.wrong(name, "a list of texts", &item)),
        };
        found.into_iter().map(text).collect::<Result<_, _>>().map(Some)
    }

    /// `true` or `false`.
    pub fn truth(&mut self, name: &str) -> Result<Option<bool>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Place { value: Value::Truth(truth), .. }) => Ok(Some(truth)),
            Some(other) => Err(self.wrong(name, "true or false", &other)),
        }
    }

    /// A whole number without a unit, 0 or more.
    pub fn count(&mut self, name: &str) -> Result<Option<u64>, RecordError> {
        match self.take(name) {
            None => Ok(None),
            Some(Place { value: Value::Number(count @ 0.., unit), .. }) if unit.is_empty() => {
                Ok(Some(count as u64))
            }
            Some(other) => Err(self.wrong(name, "a whole number", &other)),
        }
    }

    /// A span, in microseconds.
    pub fn span(&mut self, name: &str) -> Result<Option<i64>, RecordError> {
        let units = [("us", 1), ("ms", 1_000), ("s", 1_000_000), ("m", 60_000_000)];
        self.measure(name, &units, "a span such as 20ms, 3s or 2m")
    }

    /// A size, in bytes.
    pub fn size(&mut self, name: &str) -> Result<Option<i64>, RecordError> {
        let units = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
        self.measure(name, &units, "a size such as 64KiB or 8MiB")
    }

    /// An error about this record as a whole.
    pub fn error(&self, reason: impl Into<String>) -> RecordError {
        self.source.error(self.at, reason.into())
    }

    /// Nothing else is in it.
    pub fn end(self) -> Result<(), RecordError> {
        match self.fields.first() {
            None => Ok(()),
            Some(Field { name, .. }) => {
                Err(self.source.error(name.at, format!("there is no field {:?} here", name.value)))
            }
        }
    }

    fn with(mut self, fields: Vec<Field>) -> Result<Record, RecordError> {
        for (place, field) in fields.iter().enumerate() {
            let name = &field.name;
            if fields[..place].iter().any(|other| other.name.value == name.value) {
                return Err(self.source.error(name.at, format!("{:?} is set twice", name.value)));
            }
        }
        self.fields = fields;
        Ok(self)
    }

    fn measure(
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
        measured.map(Some).ok_or_else(|| self.wrong(name, wanted, &found))
    }

    fn take(&mut self, name: &str) -> Option<Place<Value>> {
        let place = self.fields.iter().position(|field| field.name.value == name)?;
        Some(self.fields.remove(place).value)
    }

    fn place(&self, name: &str) -> usize {
        self.fields.iter().find(|field| field.name.value == name).map_or(self.at, |field| field.value.at)
    }

    fn wrong(&self, name: &str, wanted: &str, found: &Place<Value>) -> RecordError {
        self.source.error(found.at, format!("{name} is {wanted}"))
    }
}

impl Source {
    fn error(&self, at: usize, reason: String) -> RecordError {
        let before = self.text.get(..at).unwrap_or(&self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
        RecordError { file: self.file.clone(), line, column, reason }
    }
}
