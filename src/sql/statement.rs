//! Statements that are forwarded to hosts: one SELECT or INSERT with a quoted key, and a comment with the
//! fields of the request. Hosts support no other syntax, so other statements are rejected here.

use crate::postgres;
pub use crate::sql::statement_error::StatementError;
use crate::sql::statement_scanner::StatementScanner;
use bytes::{Buf, Bytes};
use petrelgauge_lifecycle::class_table::IdempotencyKey;
use std::ops::Range;

/// Longest value of a comment field (bytes).
const MAX_FIELD_BYTES: usize = 256;
/// The value of the field `r` that marks a retry.
const RETRY: &str = "1";

/// A statement and the fields of its comment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    text: Bytes,
    /// Range of the digits of the wait (field `d`) in the text, which [`Statement::query`] replaces.
    wait_digits: Range<usize>,
    /// Whether it is an INSERT.
    pub is_write: bool,
    /// The quoted key without its enclosing quotes; quotes inside it are still doubled.
    pub name: String,
    /// Id of the request, chosen by the client.
    pub id: String,
    /// Name of the request's class.
    pub class: String,
    /// How long the client waits for the answer (milliseconds).
    pub wait_ms: u64,
    /// Whether the request has an idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// Number of the group that holds the key.
    pub group: u64,
    /// Name of the session. Without one, the quoted key identifies the session.
    pub session: Option<String>,
    /// Session tokens, separated by `+`.
    pub session_tokens: Option<String>,
    /// The commit that a session read must see (Unix time, milliseconds).
    pub after_ms: Option<u64>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
}

impl Statement {
    /// Parses a statement.
    ///
    /// # Errors
    ///
    /// Fails if hosts do not support the statement, or if a required field is missing or invalid.
    pub fn parse(text: &Bytes) -> Result<Statement, StatementError> {
        let mut scanner = StatementScanner::new(text);
        let is_write = match verb(text).to_ascii_uppercase().as_slice() {
            b"SELECT" => false,
            b"INSERT" => true,
            _ => return Err(StatementError::UnsupportedVerb),
        };
        let name = if is_write { scanner.insert()? } else { scanner.select()? };
        let comment = scanner.comment()?;
        scanner.end()?;
        let comment_text =
            std::str::from_utf8(&text[comment.clone()]).map_err(|_| StatementError::CommentNotUtf8)?;
        let fields = CommentFields::parse(comment_text, comment.start)?;
        let wait = fields.wait.ok_or(StatementError::MissingField("d"))?;
        let name = std::str::from_utf8(&text[name]).map_err(|_| StatementError::KeyNotUtf8)?;
        let id = fields.id.filter(|id| !id.is_empty()).ok_or(StatementError::MissingField("id"))?;
        Ok(Statement {
            wait_digits: wait.digits,
            is_write,
            name: name.to_string(),
            id: id.to_string(),
            class: fields.class.ok_or(StatementError::MissingField("c"))?.to_string(),
            wait_ms: wait.milliseconds,
            idempotency_key: match fields.idempotency_key {
                Some(key) if !key.is_empty() => IdempotencyKey::Present,
                _ => IdempotencyKey::Absent,
            },
            group: fields.cluster.ok_or(StatementError::MissingField("cluster"))?,
            session: fields.session.filter(|name| !name.is_empty()).map(str::to_string),
            session_tokens: fields.session_tokens.map(str::to_string),
            after_ms: fields.after_ms,
            is_retry: fields.retry == Some(RETRY),
            text: text.clone(),
        })
    }

    /// Bytes of memory that the statement holds: its text and the fields that were copied out of it.
    pub fn held_bytes(&self) -> usize {
        let optional = [&self.session, &self.session_tokens].into_iter().flatten().map(String::len);
        let copied = self.name.len() + self.id.len() + self.class.len() + optional.sum::<usize>();
        size_of::<Statement>() + self.text.len() + copied
    }

    /// Builds the Query message for a host: the client's statement with its wait replaced.
    pub fn query(&self, wait_ms: u64) -> impl Buf {
        let before = self.text.slice(..self.wait_digits.start);
        let after = self.text.slice(self.wait_digits.end..);
        postgres::query([before, wait_ms.to_string().into(), after])
    }
}

/// How long the client waits for the answer.
struct WaitField {
    milliseconds: u64,
    /// The range of its digits in the statement.
    digits: Range<usize>,
}

/// The fields of a comment. Each field may occur once.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    wait: Option<WaitField>,
    cluster: Option<u64>,
    after_ms: Option<u64>,
    idempotency_key: Option<&'a str>,
    retry: Option<&'a str>,
    session: Option<&'a str>,
    session_tokens: Option<&'a str>,
}

impl<'a> CommentFields<'a> {
    /// Parses a comment that starts at the offset `start` of its statement. Unknown fields are ignored.
    fn parse(comment: &'a str, start: usize) -> Result<CommentFields<'a>, StatementError> {
        let mut fields = CommentFields::default();
        let mut position = start;
        for pair in comment.split(',') {
            let (name, value) = pair.split_once('=').ok_or(StatementError::FieldWithoutValue)?;
            if value.len() > MAX_FIELD_BYTES || !value.bytes().all(|byte| byte.is_ascii_graphic()) {
                return Err(StatementError::InvalidValue);
            }
            let value_at = position + name.len() + 1;
            position += pair.len() + 1;
            fields.set(name, value, value_at)?;
        }
        Ok(fields)
    }

    fn set(&mut self, name: &str, value: &'a str, value_at: usize) -> Result<(), StatementError> {
        match name {
            "id" => set_once(&mut self.id, value),
            "c" => set_once(&mut self.class, value),
            "d" => {
                let digits = value_at..value_at + value.len();
                set_once(&mut self.wait, WaitField { milliseconds: parse_number(value)?, digits })
            }
            "cluster" => set_once(&mut self.cluster, parse_number(value)?),
            "after" => set_once(&mut self.after_ms, parse_number(value)?),
            "k" => set_once(&mut self.idempotency_key, value),
            "r" => set_once(&mut self.retry, value),
            "session" => set_once(&mut self.session, value),
            "mark" => set_once(&mut self.session_tokens, value),
            _ => Ok(()),
        }
    }
}

/// The first word of a statement.
pub fn verb(text: &[u8]) -> &[u8] {
    let text = text.trim_ascii_start();
    let end = text.iter().position(|byte| !byte.is_ascii_alphabetic()).unwrap_or(text.len());
    &text[..end]
}

fn set_once<T>(field: &mut Option<T>, value: T) -> Result<(), StatementError> {
    match field.replace(value) {
        None => Ok(()),
        Some(_) => Err(StatementError::DuplicateField),
    }
}

fn parse_number(text: &str) -> Result<u64, StatementError> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| digits).ok_or(StatementError::InvalidNumber)
}
