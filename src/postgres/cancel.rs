//! The key of a cancel request (the protocol's BackendKeyData).

/// Identifies a client in a cancel request. The gateway sends it with the answer to the startup message; the
/// client returns it in a cancel request on a separate connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// Number of the client's connection (the protocol's process ID).
    pub process: u32,
    /// Secret that only the client knows, which keeps others from cancelling its queries.
    pub secret: u32,
}
