//! Messages of the PostgreSQL protocol, and the statements of test clients.

use std::io::Read;

/// Encodes a message of a type.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Encodes a simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

/// Encodes the startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0backend\0database\0store\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A read of a class. The id is always the same, so concurrent clients of a test have to replace it.
pub fn select(name: &str, class: &str, wait_ms: u64) -> String {
    format!("SELECT content FROM kv WHERE name = '{name}' /* id=9b1f,c={class},d={wait_ms},cluster=2 */")
}

/// A keyed write. The id and the idempotency key are always the same.
pub fn insert(name: &str, wait_ms: u64) -> String {
    let comment = format!("/* id=9b1f,c=post,d={wait_ms},k=5c0f,cluster=2 */");
    format!("INSERT INTO kv (name, content) VALUES ('{name}', '\\x9f03') RETURNING content {comment}")
}

/// The types of messages, concatenated into a string.
pub fn kinds(messages: &[(u8, Vec<u8>)]) -> String {
    messages.iter().map(|(kind, _)| *kind as char).collect()
}

/// The value of a field of an ErrorResponse; empty if the field is missing.
pub fn field(body: &[u8], wanted: u8) -> String {
    let mut fields = body.split(|byte| *byte == 0).filter(|field| field.first() == Some(&wanted));
    String::from_utf8(fields.next().map_or(vec![], |field| field[1..].to_vec())).expect("the field is UTF-8")
}

/// Reads a message; none if the connection ends before the message is complete.
pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// Encodes a result of one row with one value, without ReadyForQuery.
pub fn row(value: &[u8]) -> Vec<u8> {
    let description = message(b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [description, message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// Encodes an ErrorResponse with an SQLSTATE.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Encodes a ParameterStatus message.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Encodes the ReadyForQuery message, which ends an answer.
pub fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}
