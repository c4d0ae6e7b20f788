//! Encodes the messages that the gateway sends.

use crate::postgres::cancel::CancelKey;
use crate::postgres::message_type;
use bytes::{Buf, Bytes};

/// Version 3.0 of the protocol, as in a startup message.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// Types of fields in an ErrorResponse.
const SEVERITY_FIELD: u8 = b'S';
const UNLOCALIZED_SEVERITY_FIELD: u8 = b'V';
const CODE_FIELD: u8 = b'C';
const MESSAGE_FIELD: u8 = b'M';
const DETAIL_FIELD: u8 = b'D';
/// Transaction status in a ReadyForQuery outside of a transaction.
const IDLE: u8 = b'I';
/// Parameters that drivers expect to be reported after their startup message.
const STARTUP_PARAMETERS: [(&str, &str); 3] =
    [("server_version", "15.0"), ("client_encoding", "UTF8"), ("standard_conforming_strings", "on")];

/// The severity of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The command failed.
    Error,
    /// The connection ends.
    Fatal,
}

/// Appends a message of type `kind` whose body is appended by `write`.
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

/// Appends the startup message that the gateway sends to hosts.
pub fn put_startup(out: &mut Vec<u8>) {
    put_sized(out, |body| {
        body.extend_from_slice(&PROTOCOL_VERSION.to_be_bytes());
        for text in ["user", "backend", "database", "store", ""] {
            put_text(body, text);
        }
    });
}

/// Appends the answer to a startup message that requests the minor version `minor`: the client is
/// authenticated, and the gateway is ready for queries.
pub fn put_startup_answer(out: &mut Vec<u8>, minor: u16, key: CancelKey) {
    if minor > 0 {
        put(out, message_type::NEGOTIATE_PROTOCOL_VERSION, |body| body.extend_from_slice(&[0; 8]));
    }
    put(out, message_type::AUTHENTICATION, |body| body.extend_from_slice(&[0; 4]));
    for (name, value) in STARTUP_PARAMETERS {
        put_parameter_status(out, name, value);
    }
    put(out, message_type::BACKEND_KEY_DATA, |body| {
        body.extend_from_slice(&key.process.to_be_bytes());
        body.extend_from_slice(&key.secret.to_be_bytes());
    });
    put_ready(out);
}

/// Appends a ParameterStatus.
pub fn put_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, message_type::PARAMETER_STATUS, |body| {
        put_text(body, name);
        put_text(body, value);
    });
}

/// Appends a ReadyForQuery outside of a transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, message_type::READY_FOR_QUERY, |body| body.push(IDLE));
}

/// Appends an EmptyQueryResponse.
pub fn put_empty(out: &mut Vec<u8>) {
    put(out, message_type::EMPTY_QUERY_RESPONSE, |_| {});
}

/// Appends a CommandComplete.
pub fn put_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, message_type::COMMAND_COMPLETE, |body| put_text(body, tag));
}

/// Appends an ErrorResponse.
pub fn put_error(out: &mut Vec<u8>, severity: Severity, code: &str, text: &str, detail: Option<&str>) {
    let severity = if severity == Severity::Fatal { "FATAL" } else { "ERROR" };
    let fields = [
        (SEVERITY_FIELD, severity),
        (UNLOCALIZED_SEVERITY_FIELD, severity),
        (CODE_FIELD, code),
        (MESSAGE_FIELD, text),
    ];
    put(out, message_type::ERROR_RESPONSE, |body| {
        for (field, text) in fields.into_iter().chain(detail.map(|detail| (DETAIL_FIELD, detail))) {
            body.push(field);
            put_text(body, text);
        }
        body.push(0);
    });
}

/// Builds a Query message from a statement in three parts, without copying them.
pub fn query(parts: [Bytes; 3]) -> impl Buf {
    let [first, second, third] = parts;
    let length = (first.len() + second.len() + third.len() + 5) as u32;
    let mut header = vec![message_type::QUERY];
    header.extend_from_slice(&length.to_be_bytes());
    Bytes::from(header).chain(first).chain(second).chain(third).chain(Bytes::from_static(&[0]))
}
