//! The statements of the platform's protocol: one SELECT or INSERT with a quoted key, and a comment that
//! says what the request needs.

use crate::net::pg;
use bytes::{Buf, Bytes};
use std::ops::Range;

/// A statement, as its client sent it, with what its comment says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    text: Bytes,
    digits: Range<usize>,
    /// It writes.
    pub write: bool,
    /// The quoted key, as it stands between the quotes.
    pub name: String,
    /// Class, by name.
    pub class: String,
    /// How long the client waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// It carries an idempotency key.
    pub keyed: bool,
    /// The group.
    pub cluster: u64,
    /// Commit that a session read must see, in Unix milliseconds.
    pub after_ms: Option<u64>,
    /// Marked as a retry.
    pub repeat: bool,
}

/// Longest wait that a client may name: a day, in milliseconds.
const MOST_WAIT_MS: u64 = 86_400_000;

impl Statement {
    /// Reads a statement. The cause of a failure is one plain sentence.
    pub fn parse(text: &Bytes) -> Result<Statement, &'static str> {
        let write = match verb(text).to_ascii_uppercase().as_slice() {
            b"SELECT" => false,
            b"INSERT" => true,
            _ => return Err("only SELECT and INSERT are served"),
        };
        let (name, comment) = parts(text)?;
        let body = std::str::from_utf8(&text[comment.clone()]).map_err(|_| "the comment is not UTF-8")?;
        let (mut id, mut class, mut wait, mut cluster, mut after) = (None, None, None, None, None);
        let (mut keyed, mut repeat) = (false, false);
        let mut place = comment.start;
        for pair in body.split(',') {
            let start = place;
            place += pair.len() + 1;
            let (field, value) = pair.split_once('=').ok_or("the comment holds something without a value")?;
            let at = start + field.len() + 1;
            let at = at + (value.len() - value.trim_start().len());
            let value = value.trim();
            match field.trim() {
                "id" => once(&mut id, value)?,
                "c" => once(&mut class, value)?,
                "d" => once(&mut wait, (number(value)?, at..at + value.len()))?,
                "cluster" => once(&mut cluster, number(value)?)?,
                "after" => once(&mut after, number(value)?)?,
                "k" => keyed = !value.is_empty(),
                "r" => repeat = value == "1",
                _ => {}
            }
        }
        id.filter(|id| !id.is_empty()).ok_or("the comment names no id")?;
        let (wait_ms, digits) = wait.ok_or("the comment names no d")?;
        Ok(Statement {
            digits,
            write,
            name: String::from_utf8(text[name].to_vec()).map_err(|_| "the quoted key is not UTF-8")?,
            class: class.ok_or("the comment names no c")?.to_string(),
            wait_ms: wait_ms.min(MOST_WAIT_MS),
            keyed,
            cluster: cluster.ok_or("the comment names no cluster")?,
            after_ms: after,
            repeat,
            text: text.clone(),
        })
    }

    /// The query that sends it on: unaltered but for how long the answer is waited for.
    pub fn query(&self, wait_ms: u64) -> impl Buf {
        let before = self.text.slice(..self.digits.start);
        let after = self.text.slice(self.digits.end..);
        pg::query([before, wait_ms.to_string().into(), after])
    }
}

/// The first word of a statement.
pub fn verb(text: &[u8]) -> &[u8] {
    let text = text.trim_ascii_start();
    let end = text.iter().position(|byte| !byte.is_ascii_alphabetic()).unwrap_or(text.len());
    &text[..end]
}

fn once<T>(place: &mut Option<T>, value: T) -> Result<(), &'static str> {
    match place.replace(value) {
        None => Ok(()),
        Some(_) => Err("the comment says something twice"),
    }
}

fn number(text: &str) -> Result<u64, &'static str> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| digits).ok_or("the comment holds a number that is none")
}

/// Where the first quoted text and the comment stand. A key may hold what looks like a comment, and a
/// comment what looks like a quote.
fn parts(text: &[u8]) -> Result<(Range<usize>, Range<usize>), &'static str> {
    let (mut name, mut comment, mut at) = (None, None, 0);
    while at < text.len() {
        if text[at] == b'\'' {
            let end = quoted(text, at + 1).ok_or("a quote is not closed")?;
            name.get_or_insert(at + 1..end);
            at = end + 1;
        } else if text[at..].starts_with(b"/*") {
            let length = text[at + 2..].windows(2).position(|pair| pair == b"*/");
            let end = at + 2 + length.ok_or("the comment is not closed")?;
            if comment.replace(at + 2..end).is_some() {
                return Err("there is more than one comment");
            }
            at = end + 2;
        } else if text[at] == b';'
            && !text[at + 1..].trim_ascii().is_empty()
            && !only_comment(&text[at + 1..])
        {
            return Err("there is more than one statement");
        } else {
            at += 1;
        }
    }
    Ok((name.ok_or("there is no quoted key")?, comment.ok_or("there is no comment")?))
}

fn only_comment(rest: &[u8]) -> bool {
    rest.trim_ascii().starts_with(b"/*")
}

/// Where a quoted text ends that starts here. A doubled quote is part of it.
fn quoted(text: &[u8], start: usize) -> Option<usize> {
    let mut at = start;
    loop {
        at += text[at..].iter().position(|byte| *byte == b'\'')?;
        if text.get(at + 1) != Some(&b'\'') {
            return Some(at);
        }
        at += 2;
    }
}
