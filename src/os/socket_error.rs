//! The errors that Linux documents for system calls on sockets, classified by how the caller must react.

use crate::os::system_call::Call;
use std::io;

/// Why a system call failed, classified by how the caller must react.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// A signal interrupted the call before it had any effect: repeat it at once.
    #[error("interrupted by a signal")]
    Interrupted,
    /// The socket is not ready: wait until it is.
    #[error("not ready")]
    WouldBlock,
    /// This process or machine lacks descriptors, memory, ports or a network. The error says nothing about
    /// the remote side.
    #[error("{0}")]
    ResourceShortage(#[source] io::Error),
    /// The remote side refused the connection or does not answer. On a datagram socket, the error is about an
    /// earlier datagram.
    #[error("{0}")]
    Unreachable(#[source] io::Error),
    /// The connection has ended, or the address is not available for listening. When an accept reports it,
    /// the listener remains usable.
    #[error("{0}")]
    Broken(#[source] io::Error),
}

/// Classifies an error of a system call.
pub fn classify(call: Call, cause: io::Error) -> SocketError {
    let Some(number) = cause.raw_os_error() else { return classify_kind(call, cause) };
    match (call, number) {
        (_, libc::EINTR) => SocketError::Interrupted,
        // For connect, EAGAIN means that no local port or routing cache entry is available.
        (Call::Connect, libc::EAGAIN) => SocketError::ResourceShortage(cause),
        (_, libc::EAGAIN) => SocketError::WouldBlock,
        (_, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => {
            SocketError::ResourceShortage(cause)
        }
        (Call::Connect | Call::SendDatagram, number) if is_local_failure(number) => {
            SocketError::ResourceShortage(cause)
        }
        (Call::Connect, _) => SocketError::Unreachable(cause),
        (Call::SendDatagram | Call::ReceiveDatagram, number) if is_peer_failure(number) => {
            SocketError::Unreachable(cause)
        }
        // The socket serves all peers and never reaches an end of stream. The failure may be temporary.
        (Call::SendDatagram | Call::ReceiveDatagram, _) => SocketError::ResourceShortage(cause),
        (Call::Accept, number) if is_failed_connection(number) => SocketError::Broken(cause),
        // The listener itself may be broken. Repeating the call without a pause could use all CPU time.
        (Call::Accept, _) => SocketError::ResourceShortage(cause),
        (Call::Listen | Call::Read | Call::Write | Call::Peek, _) => SocketError::Broken(cause),
    }
}

/// Classifies an error without an error number, as reported by a library.
fn classify_kind(call: Call, cause: io::Error) -> SocketError {
    match (cause.kind(), call) {
        (io::ErrorKind::Interrupted, _) => SocketError::Interrupted,
        (io::ErrorKind::WouldBlock, _) => SocketError::WouldBlock,
        (_, Call::Accept | Call::SendDatagram | Call::ReceiveDatagram) => {
            SocketError::ResourceShortage(cause)
        }
        (_, Call::Connect) => SocketError::Unreachable(cause),
        (_, Call::Listen | Call::Read | Call::Write | Call::Peek) => SocketError::Broken(cause),
    }
}

/// Whether this error means that a connect or datagram did not leave this machine: no port, route or network
/// was available, or a firewall blocked it.
fn is_local_failure(number: i32) -> bool {
    matches!(
        number,
        libc::EADDRNOTAVAIL
            | libc::EADDRINUSE
            | libc::ENETUNREACH
            | libc::ENETDOWN
            | libc::EACCES
            | libc::EPERM
    )
}

/// Whether this error is the network's answer to a datagram: the port is closed or the machine unreachable.
fn is_peer_failure(number: i32) -> bool {
    matches!(
        number,
        libc::ECONNREFUSED
            | libc::ECONNRESET
            | libc::EHOSTUNREACH
            | libc::EHOSTDOWN
            | libc::ENETUNREACH
            | libc::ENOPROTOOPT
            | libc::EPROTO
            | libc::ETIMEDOUT
    )
}

/// Whether an accept with this error has removed a connection from the backlog that had already ended. Linux
/// passes errors of the new connection on as errors of accept.
fn is_failed_connection(number: i32) -> bool {
    matches!(
        number,
        libc::ECONNABORTED
            | libc::ECONNRESET
            | libc::EPROTO
            | libc::ENOPROTOOPT
            | libc::ENETDOWN
            | libc::ENETUNREACH
            | libc::ENONET
            | libc::EHOSTDOWN
            | libc::EHOSTUNREACH
            | libc::ETIMEDOUT
            | libc::EPERM
    )
}
