//! The key of a cancel request (the protocol's BackendKeyData).

/// Names a client in a cancel request: it is sent to the client with the answer to its startup message, and
/// brought back on a connection of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The number of the client's connection (the protocol's process ID).
    pub process: u32,
    /// Known to its client alone.
    pub secret: u32,
}
