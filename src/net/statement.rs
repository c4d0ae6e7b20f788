//! The statements of the platform's protocol: one SELECT or INSERT with a quoted key, and a comment that
//! says what the request needs. A host cannot use any other form, so nothing else is passed on.

use crate::net::pg;
use bytes::{Buf, Bytes};
use std::ops::Range;

/// A statement, as its client sent it, with what its comment says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    text: Bytes,
    digits: Range<usize>,
    /// It writes.
    pub is_write: bool,
    /// The quoted key, as it stands between the quotes.
    pub name: String,
    /// What its client calls the request.
    pub id: String,
    /// Class, by name.
    pub class: String,
    /// How long the client waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// It carries an idempotency key.
    pub has_idempotency_key: bool,
    /// The group.
    pub group: u64,
    /// Its session, where it is not the quoted key that names it.
    pub session: Option<String>,
    /// The session's tokens, parted by `+`.
    pub session_tokens: Option<String>,
    /// Commit that a session read must see, in Unix milliseconds.
    pub after_ms: Option<u64>,
    /// Marked as a retry.
    pub is_retry: bool,
}

/// Longest value, which is quoted as `\x` and two digits a byte; and the longest word of a comment.
const MOST_VALUE: usize = 64 * 1024;
const MOST_WORD: usize = 256;

impl Statement {
    /// Reads a statement. The cause of a failure is one plain sentence.
    pub fn parse(text: &Bytes) -> Result<Statement, &'static str> {
        let mut form = Form { text, at: 0 };
        let write = match verb(text).to_ascii_uppercase().as_slice() {
            b"SELECT" => false,
            b"INSERT" => true,
            _ => return Err("only SELECT and INSERT are served"),
        };
        let name = if write { form.insert()? } else { form.select()? };
        let comment = form.comment()?;
        form.end()?;
        let word = |range: &Range<usize>| std::str::from_utf8(&text[range.clone()]);
        let body = word(&comment).map_err(|_| "the comment is not UTF-8")?;
        let (mut id, mut class, mut wait, mut cluster) = (None, None, None, None);
        let (mut after, mut key, mut repeat) = (None, None, None);
        let (mut session, mut mark) = (None, None);
        let mut place = comment.start;
        for pair in body.split(',') {
            let (field, value) = pair.split_once('=').ok_or("the comment holds something without a value")?;
            if value.len() > MOST_WORD || !value.bytes().all(|byte| byte.is_ascii_graphic()) {
                return Err("the comment holds a value that is none");
            }
            let at = place + field.len() + 1;
            place += pair.len() + 1;
            match field {
                "id" => once(&mut id, value)?,
                "c" => once(&mut class, value)?,
                "d" => once(&mut wait, (number(value)?, at..at + value.len()))?,
                "cluster" => once(&mut cluster, number(value)?)?,
                "after" => once(&mut after, number(value)?)?,
                "k" => once(&mut key, value)?,
                "r" => once(&mut repeat, value)?,
                "session" => once(&mut session, value)?,
                "mark" => once(&mut mark, value)?,
                _ => {}
            }
        }
        let (wait_ms, digits) = wait.ok_or("the comment names no d")?;
        Ok(Statement {
            digits,
            is_write: write,
            name: word(&name).map_err(|_| "the quoted key is not UTF-8")?.to_string(),
            id: id.filter(|id| !id.is_empty()).ok_or("the comment names no id")?.to_string(),
            class: class.ok_or("the comment names no c")?.to_string(),
            wait_ms,
            has_idempotency_key: key.is_some_and(|key| !key.is_empty()),
            group: cluster.ok_or("the comment names no cluster")?,
            session: session.filter(|name| !name.is_empty()).map(str::to_string),
            session_tokens: mark.map(str::to_string),
            after_ms: after,
            is_retry: repeat == Some("1"),
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

/// Reads a statement from its beginning on.
struct Form<'a> {
    text: &'a [u8],
    at: usize,
}

impl Form<'_> {
    /// Up to the comment; gives where the key stands.
    fn select(&mut self) -> Result<Range<usize>, &'static str> {
        self.words(&["SELECT", "content", "FROM", "kv", "WHERE", "name", "="])?;
        self.quoted()
    }

    fn insert(&mut self) -> Result<Range<usize>, &'static str> {
        self.words(&["INSERT", "INTO", "kv", "(", "name", ",", "content", ")", "VALUES", "("])?;
        let name = self.quoted()?;
        self.words(&[","])?;
        let value = self.quoted()?;
        let digits =
            self.text[value].strip_prefix(b"\\x").ok_or("the value is not written as \\x and digits")?;
        if digits.len() % 2 != 0 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err("the value is not a row of bytes in hexadecimal digits");
        }
        self.words(&[")", "RETURNING", "content"])?;
        Ok(name)
    }

    fn space(&mut self) {
        let rest = &self.text[self.at..];
        self.at += rest.len() - rest.trim_ascii_start().len();
    }

    /// These, in whatever case and with whatever space between them; two words need some.
    fn words(&mut self, words: &[&str]) -> Result<(), &'static str> {
        for word in words {
            self.space();
            let rest = &self.text[self.at..];
            let found =
                rest.get(..word.len()).is_some_and(|found| found.eq_ignore_ascii_case(word.as_bytes()));
            let next = rest.get(word.len()).copied().unwrap_or(b' ');
            let goes_on = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
            if !found || (word.as_bytes()[0].is_ascii_alphabetic() && goes_on(next)) {
                return Err("the statement has another form than the one that is served");
            }
            self.at += word.len();
        }
        Ok(())
    }

    /// A quoted text; a doubled quote is part of it.
    fn quoted(&mut self) -> Result<Range<usize>, &'static str> {
        self.words(&["'"]).map_err(|_| "there is no quoted key")?;
        let (start, mut at) = (self.at, self.at);
        loop {
            at += self.text[at..].iter().position(|byte| *byte == b'\'').ok_or("a quote is not closed")?;
            if self.text.get(at + 1) != Some(&b'\'') {
                break;
            }
            at += 2;
        }
        self.at = at + 1;
        if at - start > 2 * MOST_VALUE + 2 {
            return Err("what is quoted is longer than a value of 64 KiB");
        }
        Ok(start..at)
    }

    /// The comment; gives where its text stands, without the space around it.
    fn comment(&mut self) -> Result<Range<usize>, &'static str> {
        self.words(&["/*"]).map_err(|_| "there is no comment where it belongs")?;
        let length = self.text[self.at..].windows(2).position(|pair| pair == b"*/");
        let end = self.at + length.ok_or("the comment is not closed")?;
        self.space();
        let start = self.at.min(end);
        self.at = end + 2;
        Ok(start..start + self.text[start..end].trim_ascii_end().len())
    }

    /// Nothing follows but a semicolon.
    fn end(&mut self) -> Result<(), &'static str> {
        let rest = self.text[self.at..].trim_ascii();
        match rest.strip_prefix(b";").unwrap_or(rest) {
            [] => Ok(()),
            _ => Err("something follows the comment"),
        }
    }
}
