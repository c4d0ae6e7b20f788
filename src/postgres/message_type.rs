//! Type bytes of messages, named after PostgreSQL's messages.

/// Authentication, from a server.
pub const AUTHENTICATION: u8 = b'R';
/// BackendKeyData, from a server.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// CommandComplete, from a server.
pub const COMMAND_COMPLETE: u8 = b'C';
/// DataRow, from a server.
pub const DATA_ROW: u8 = b'D';
/// EmptyQueryResponse, from a server.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// ErrorResponse, from a server.
pub const ERROR_RESPONSE: u8 = b'E';
/// NegotiateProtocolVersion, from a server.
pub const NEGOTIATE_PROTOCOL_VERSION: u8 = b'v';
/// NoticeResponse, from a server.
pub const NOTICE_RESPONSE: u8 = b'N';
/// ParameterStatus, from a server.
pub const PARAMETER_STATUS: u8 = b'S';
/// Query, from a client.
pub const QUERY: u8 = b'Q';
/// ReadyForQuery, from a server.
pub const READY_FOR_QUERY: u8 = b'Z';
/// RowDescription, from a server.
pub const ROW_DESCRIPTION: u8 = b'T';

/// The types of messages that a database host may send.
pub const SENT_BY_HOSTS: &[u8] = &[
    AUTHENTICATION,
    PARAMETER_STATUS,
    BACKEND_KEY_DATA,
    NEGOTIATE_PROTOCOL_VERSION,
    NOTICE_RESPONSE,
    ROW_DESCRIPTION,
    DATA_ROW,
    COMMAND_COMPLETE,
    ERROR_RESPONSE,
    READY_FOR_QUERY,
];
