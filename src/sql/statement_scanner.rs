//! Scanner for the syntax of a statement.

use crate::sql::statement_error::StatementError;
use std::ops::Range;

/// Longest value (bytes).
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Longest quoted string (bytes): `\x` and two digits for each byte of a value.
const MAX_QUOTED_BYTES: usize = 2 * MAX_VALUE_BYTES + 2;

/// Scans a statement from left to right. Each method continues where the previous one ended.
pub(super) struct StatementScanner<'a> {
    text: &'a [u8],
    position: usize,
}

impl StatementScanner<'_> {
    /// Creates a scanner at the beginning of a statement.
    pub(super) fn new(text: &[u8]) -> StatementScanner<'_> {
        StatementScanner { text, position: 0 }
    }

    /// Scans a SELECT up to its comment. Returns the range of the quoted key.
    pub(super) fn select(&mut self) -> Result<Range<usize>, StatementError> {
        self.words(&["SELECT", "content", "FROM", "kv", "WHERE", "name", "="])?;
        self.quoted()
    }

    /// Scans an INSERT up to its comment. Returns the range of the quoted key.
    pub(super) fn insert(&mut self) -> Result<Range<usize>, StatementError> {
        self.words(&["INSERT", "INTO", "kv", "(", "name", ",", "content", ")", "VALUES", "("])?;
        let name = self.quoted()?;
        self.words(&[","])?;
        let value = self.quoted()?;
        let digits = self.text[value].strip_prefix(b"\\x").ok_or(StatementError::ValueWithoutPrefix)?;
        if digits.len() % 2 != 0 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(StatementError::ValueNotHexadecimal);
        }
        self.words(&[")", "RETURNING", "content"])?;
        Ok(name)
    }

    /// Scans the comment. Returns the range of its text without surrounding whitespace.
    pub(super) fn comment(&mut self) -> Result<Range<usize>, StatementError> {
        self.words(&["/*"]).map_err(|_| StatementError::MissingComment)?;
        let length = self.text[self.position..].windows(2).position(|pair| pair == b"*/");
        let end = self.position + length.ok_or(StatementError::UnclosedComment)?;
        self.skip_space();
        let start = self.position.min(end);
        self.position = end + 2;
        Ok(start..start + self.text[start..end].trim_ascii_end().len())
    }

    /// Scans the end of the statement, with an optional semicolon.
    pub(super) fn end(&mut self) -> Result<(), StatementError> {
        let rest = self.text[self.position..].trim_ascii();
        match rest.strip_prefix(b";").unwrap_or(rest) {
            [] => Ok(()),
            _ => Err(StatementError::TrailingText),
        }
    }

    fn skip_space(&mut self) {
        let rest = &self.text[self.position..];
        self.position += rest.len() - rest.trim_ascii_start().len();
    }

    /// Scans these words, in any case and with any whitespace between them. Whitespace is required between
    /// two words.
    fn words(&mut self, words: &[&str]) -> Result<(), StatementError> {
        for word in words {
            self.skip_space();
            let rest = &self.text[self.position..];
            let is_found =
                rest.get(..word.len()).is_some_and(|found| found.eq_ignore_ascii_case(word.as_bytes()));
            let next_byte = rest.get(word.len()).copied().unwrap_or(b' ');
            let continues_word = next_byte.is_ascii_alphanumeric() || next_byte == b'_';
            if !is_found || (word.as_bytes()[0].is_ascii_alphabetic() && continues_word) {
                return Err(StatementError::UnsupportedSyntax);
            }
            self.position += word.len();
        }
        Ok(())
    }

    /// Scans a quoted string, in which quotes are escaped by doubling.
    fn quoted(&mut self) -> Result<Range<usize>, StatementError> {
        self.words(&["'"]).map_err(|_| StatementError::MissingQuote)?;
        let start = self.position;
        let end = self.closing_quote(start)?;
        self.position = end + 1;
        if end - start > MAX_QUOTED_BYTES {
            return Err(StatementError::QuotedTooLong);
        }
        Ok(start..end)
    }

    /// Offset of the first quote at or after `start` that is not doubled.
    fn closing_quote(&self, start: usize) -> Result<usize, StatementError> {
        let mut position = start;
        loop {
            let quote = self.text[position..].iter().position(|byte| *byte == b'\'');
            position += quote.ok_or(StatementError::UnclosedQuote)?;
            if self.text.get(position + 1) != Some(&b'\'') {
                return Ok(position);
            }
            position += 2;
        }
    }
}
