//! Messages of the PostgreSQL protocol.

use std::io::{self, Read};

/// Encodes a message.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Encodes the startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0backend\0database\0store\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Encodes a simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

/// Encodes a result of one row with one value, up to CommandComplete.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let description = message(b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [description, message(b'D', &data), message(b'C', &[tag.as_bytes(), &[0]].concat())].concat()
}

/// Encodes an ErrorResponse.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Encodes a ParameterStatus.
pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Encodes ReadyForQuery.
pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// Reads a message: its type and body.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads a startup message.
pub fn read_startup(stream: &mut impl Read) -> io::Result<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut body = vec![0; (u32::from_be_bytes(head) as usize).saturating_sub(4)];
    stream.read_exact(&mut body)
}

/// A field of an ErrorResponse; empty if it is missing.
pub fn error_field(body: &[u8], kind: u8) -> String {
    let field = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&kind));
    field.map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
}
