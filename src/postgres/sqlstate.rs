//! SQLSTATE codes of the errors that the gateway itself raises (PostgreSQL documentation, appendix A).

/// `statement_completion_unknown`: no answer came in time, and the statement may have run.
pub const STATEMENT_COMPLETION_UNKNOWN: &str = "40003";
/// `syntax_error`: the statement cannot be parsed.
pub const SYNTAX_ERROR: &str = "42601";
/// `invalid_parameter_value`: a value in the statement is unknown or out of range.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// `too_many_connections`: the request is shed.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// `query_canceled`: the client cancelled the request.
pub const QUERY_CANCELED: &str = "57014";
/// `cannot_connect_now`: the gateway is draining.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
