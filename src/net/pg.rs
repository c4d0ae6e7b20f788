//! Version 3 of PostgreSQL's wire protocol, for both sides of the gateway: framing, the messages it writes,
//! and reading what a database host answers.

use crate::net::cancel::CancelKey;
use bytes::{Buf, Bytes, BytesMut};

/// Longest message taken from either side. A value has 64 KiB at most and twice that as hexadecimal digits.
pub const MAX_MESSAGE_BYTES: usize = 160 * 1024;
/// Length of a row's message beyond which it is passed on as it comes: a value of 64 KiB and what stands before it.
pub const MAX_BUFFERED_ROW_BYTES: usize = 64 * 1024 + ROW_HEADER_BYTES;
/// The longest row: a value of 4 MiB.
pub const MAX_ROW_BYTES: usize = 4 * 1024 * 1024 + ROW_HEADER_BYTES;
/// Length, count of columns and length of the value, before the value itself.
const ROW_HEADER_BYTES: usize = 4 + 2 + 4;
/// A setting that a client is told of, beside what it asked for.
pub fn put_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    out.push(b'S');
    out.extend_from_slice(&(4 + name.len() as u32 + value.len() as u32 + 2).to_be_bytes());
    for text in [name, value] {
        out.extend_from_slice(text.as_bytes());
        out.push(0);
    }
}

/// Longest startup message, as PostgreSQL has it.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The bytes of a peer make no sense; says why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// One message: its type and all its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// As it stood on the wire, with its type and length.
    pub raw: Bytes,
}

impl Message {
    /// Its type.
    pub fn kind(&self) -> u8 {
        self.raw[0]
    }

    /// What follows type and length.
    pub fn body(&self) -> &[u8] {
        &self.raw[5..]
    }

    /// The one text that is its body, without the byte that ends it.
    pub fn text(&self) -> Result<Bytes, Malformed> {
        match self.body().split_last() {
            Some((0, text)) if !text.contains(&0) => Ok(self.raw.slice(5..self.raw.len() - 1)),
            _ => Err(Malformed("invalid string in message")),
        }
    }
}

/// What a client may open with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Opening {
    /// A wish for encryption, SSL's or GSS's.
    Encryption,
    /// A cancel request, with the key that it brings.
    Cancel(CancelKey),
    /// The startup message, with the protocol's minor version.
    Startup {
        /// Minor version asked for.
        minor: u16,
    },
}

/// Cuts the bytes of a connection into messages.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: BytesMut,
}

impl Framer {
    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes of messages that are not whole, or that nobody took.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Nothing is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Forgets what is there.
    pub fn clear(&mut self) {
        self.buffer = BytesMut::new();
    }

    /// The type of the next message, as soon as its first byte is there.
    pub fn kind(&self) -> Option<u8> {
        self.buffer.first().copied()
    }

    /// The opening message is there whole.
    pub fn has_opening(&self) -> bool {
        self.length_at(0).is_some_and(|length| self.buffer.len() >= length)
    }

    /// Takes the opening message, if it is there whole.
    pub fn opening(&mut self) -> Result<Option<Opening>, Malformed> {
        let Some(length) = self.length_at(0) else { return Ok(None) };
        if !(8..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(Malformed("invalid length of startup packet"));
        }
        if self.buffer.len() < length {
            return Ok(None);
        }
        let mut packet = self.buffer.split_to(length);
        packet.advance(4);
        match (packet.get_u16(), packet.get_u16()) {
            (1234, 5679 | 5680) => Ok(Some(Opening::Encryption)),
            (1234, 5678) if packet.len() == 8 => {
                let (process, secret) = (packet.get_u32(), packet.get_u32());
                Ok(Some(Opening::Cancel(CancelKey { process, secret })))
            }
            (1234, 5678) => Err(Malformed("invalid length of cancel request")),
            (3, _) if packet.last() != Some(&0) => Err(Malformed("invalid startup packet layout")),
            (3, minor) => Ok(Some(Opening::Startup { minor })),
            _ => Err(Malformed("unsupported frontend protocol")),
        }
    }

    /// Takes the next message, if it is there whole.
    pub fn message(&mut self) -> Result<Option<Message>, Malformed> {
        let Some(length) = self.length_at(1) else { return Ok(None) };
        if !(4..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(Malformed("invalid message length"));
        }
        if self.buffer.len() < 1 + length {
            return Ok(None);
        }
        let raw = self.buffer.split_to(1 + length).freeze();
        if self.buffer.is_empty() {
            // Its room would stay with an idle connection, as large as the largest message was.
            self.buffer = BytesMut::new();
        }
        Ok(Some(Message { raw }))
    }

    /// The next message begins a long row of one value: the bytes of all of it.
    pub fn long_row(&self) -> Option<usize> {
        let length = self
            .length_at(1)
            .filter(|length| (MAX_BUFFERED_ROW_BYTES + 1..=MAX_ROW_BYTES).contains(length))?;
        let columns = self.buffer.get(5..7).filter(|columns| **columns == [0, 1]);
        let fits = self.length_at(7).is_some_and(|value| value + ROW_HEADER_BYTES == length);
        (self.buffer.first() == Some(&b'D') && columns.is_some() && fits).then_some(1 + length)
    }

    /// Takes what is there, so many bytes at most, whatever they mean.
    pub fn take_raw(&mut self, most: usize) -> Bytes {
        let taken = self.buffer.split_to(most.min(self.buffer.len())).freeze();
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        taken
    }

    fn length_at(&self, place: usize) -> Option<usize> {
        let bytes = self.buffer.get(place..place + 4)?;
        Some(u32::from_be_bytes(bytes.try_into().ok()?) as usize)
    }
}

/// Appends one message: its type, its length, and the body that `write` appends.
pub fn put(out: &mut Vec<u8>, kind: u8, write: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    put_sized(out, write);
}

fn put_sized(out: &mut Vec<u8>, write: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    write(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// The startup message of a client.
pub fn put_startup(out: &mut Vec<u8>) {
    put_sized(out, |body| {
        body.extend_from_slice(&196_608u32.to_be_bytes());
        for text in ["user", "backend", "database", "store", ""] {
            put_text(body, text);
        }
    });
}

/// The answer to a startup message: admitted, ready.
pub fn put_startup_answer(out: &mut Vec<u8>, minor: u16, key: CancelKey) {
    if minor > 0 {
        put(out, b'v', |body| body.extend_from_slice(&[0; 8]));
    }
    put(out, b'R', |body| body.extend_from_slice(&[0; 4]));
    let told =
        [("server_version", "15.0"), ("client_encoding", "UTF8"), ("standard_conforming_strings", "on")];
    for (name, value) in told {
        put(out, b'S', |body| {
            put_text(body, name);
            put_text(body, value);
        });
    }
    put(out, b'K', |body| {
        body.extend_from_slice(&key.process.to_be_bytes());
        body.extend_from_slice(&key.secret.to_be_bytes());
    });
    put_ready(out);
}

/// ReadyForQuery, outside of a transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', |body| body.push(b'I'));
}

/// EmptyQueryResponse.
pub fn put_empty(out: &mut Vec<u8>) {
    put(out, b'I', |_| {});
}

/// CommandComplete.
pub fn put_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', |body| put_text(body, tag));
}

/// A simple query of a statement that comes in parts, which are not copied.
pub fn query(parts: [Bytes; 3]) -> impl Buf {
    let [first, second, third] = parts;
    let length = (first.len() + second.len() + third.len() + 5) as u32;
    let mut head = vec![b'Q'];
    head.extend_from_slice(&length.to_be_bytes());
    Bytes::from(head).chain(first).chain(second).chain(third).chain(Bytes::from_static(&[0]))
}

/// How bad an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The command failed.
    Error,
    /// The connection ends.
    Fatal,
}

/// ErrorResponse.
pub fn put_error(out: &mut Vec<u8>, severity: Severity, code: &str, text: &str, detail: Option<&str>) {
    let severity = if severity == Severity::Fatal { "FATAL" } else { "ERROR" };
    put(out, b'E', |body| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)];
        for (field, text) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            body.push(field);
            put_text(body, text);
        }
        body.push(0);
    });
}

/// The text of a field of an ErrorResponse's body.
pub fn error_field(body: &[u8], wanted: u8) -> Option<&str> {
    let mut fields = body.split(|byte| *byte == 0);
    fields
        .find(|field| field.first() == Some(&wanted))
        .and_then(|field| std::str::from_utf8(&field[1..]).ok())
}

/// Name and value of a ParameterStatus' body.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let text = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?;
    text.split_once('\0').filter(|(_, value)| !value.contains('\0'))
}

/// What a database host answered to a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// One row: RowDescription, DataRow and CommandComplete as they stood on the wire.
    Row(Vec<Bytes>),
    /// An error, by its code.
    Error(String),
}

/// A host's answer with what it says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The answer.
    pub answer: Answer,
    /// The ParameterStatus messages that came with it.
    pub parameters: Vec<(String, String)>,
    /// The connection may carry another query.
    pub ready: bool,
}

/// Most ParameterStatus messages kept of one answer.
const MAX_PARAMETERS: usize = 16;

/// The types of messages that a host may send: what begins otherwise is noise, whatever its length says.
pub const HOST_MESSAGE_TYPES: &[u8] = b"RSKvNTDCEZ";

/// Puts the messages of a host together to an answer.
#[derive(Debug, Default)]
pub struct AnswerAssembler {
    row: Vec<Bytes>,
    error: Option<String>,
    parameters: Vec<(String, String)>,
}

impl AnswerAssembler {
    /// Takes a message; the reply is whole at ReadyForQuery.
    pub fn push(&mut self, message: Message) -> Result<Option<Reply>, Malformed> {
        let body = message.body();
        match (message.kind(), self.row.len()) {
            (b'T', 0) if self.error.is_none() && describes_one(body) => self.row.push(message.raw),
            (b'D', 1) if self.error.is_none() && holds_one(body) => self.row.push(message.raw),
            (b'C', 2) if self.error.is_none() && completes(body) => self.row.push(message.raw),
            (b'E', _) if self.error.is_none() => {
                let code = error_field(body, b'C').ok_or(Malformed("an error without a code"))?;
                self.error = Some(code.to_string());
            }
            (b'S', _) => {
                if let (Some((name, value)), true) = (parameter(body), self.parameters.len() < MAX_PARAMETERS)
                {
                    self.parameters.push((name.to_string(), value.to_string()));
                }
            }
            (b'N', _) => {}
            (b'Z', _) if matches!(body, [b'I' | b'T' | b'E']) => {
                return self.reply(true).map(Some).ok_or(Malformed("an answer without a row"))
            }
            _ => return Err(Malformed("a message out of place, or one that does not fit its type")),
        }
        Ok(None)
    }

    /// A long row follows, which is not kept. Gives what stood before it.
    pub fn begin_streamed_row(&mut self) -> Bytes {
        let description = self.row.first().cloned().unwrap_or_default();
        self.row.push(Bytes::new());
        description
    }

    /// Whether a row may come next.
    pub fn awaits_row(&self) -> bool {
        self.row.len() == 1 && self.error.is_none()
    }

    /// What the host has said of itself.
    pub fn parameters(&self) -> &[(String, String)] {
        &self.parameters
    }

    /// No more comes. A host may close after an error without saying that it is ready.
    pub fn finish(&mut self) -> Option<Reply> {
        self.error.as_ref()?;
        self.reply(false)
    }

    fn reply(&mut self, ready: bool) -> Option<Reply> {
        let answer = match self.error.take() {
            Some(code) => Answer::Error(code),
            None if self.row.len() == 3 => Answer::Row(std::mem::take(&mut self.row)),
            None => return None,
        };
        Some(Reply { answer, parameters: std::mem::take(&mut self.parameters), ready })
    }
}

/// A RowDescription of one column: its name, and 18 bytes of where it comes from and what it is.
fn describes_one(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).unwrap_or_default();
    name.iter().position(|byte| *byte == 0).is_some_and(|end| name.len() == end + 1 + 18)
}

/// A DataRow of one column that is not null.
fn holds_one(body: &[u8]) -> bool {
    match body {
        [0, 1, a, b, c, d, value @ ..] => u32::from_be_bytes([*a, *b, *c, *d]) as usize == value.len(),
        _ => false,
    }
}

/// A CommandComplete: one text, the tag of a statement that gave a row.
fn completes(body: &[u8]) -> bool {
    let tag = body.strip_suffix(&[0]).unwrap_or_default();
    let known = tag.starts_with(b"SELECT ") || tag.starts_with(b"INSERT ");
    known && tag.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ')
}
