//! The failures that Linux documents for calls on sockets, classified by what the caller has to do.

use crate::os::system_call::Call;
use std::io;

/// Why a call failed, by what the caller has to do.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// A signal interrupted the call before it did anything: repeat it at once.
    #[error("interrupted by a signal")]
    Interrupted,
    /// The socket is not ready: wait for it.
    #[error("not ready")]
    WouldBlock,
    /// This process or its machine lacks descriptors, memory, ports or a network. It says nothing about the
    /// peer.
    #[error("{0}")]
    OwnShortage(#[source] io::Error),
    /// The peer refused the connection, or its machine does not answer. On a datagram socket: this happened
    /// to an earlier datagram.
    #[error("{0}")]
    Unreachable(#[source] io::Error),
    /// The connection has ended, or the address is not available for listening. A listener that reports it
    /// still works.
    #[error("{0}")]
    Broken(#[source] io::Error),
}

/// Classifies a failure of this call.
pub fn classify(call: Call, cause: io::Error) -> SocketError {
    let Some(number) = cause.raw_os_error() else { return classify_kind(call, cause) };
    match (call, number) {
        (_, libc::EINTR) => SocketError::Interrupted,
        // On connect, EAGAIN means that no local port or routing cache entry is left.
        (Call::Connect, libc::EAGAIN) => SocketError::OwnShortage(cause),
        (_, libc::EAGAIN) => SocketError::WouldBlock,
        (_, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => SocketError::OwnShortage(cause),
        (Call::Connect | Call::SendDatagram, number) if is_local(number) => SocketError::OwnShortage(cause),
        (Call::Connect, _) => SocketError::Unreachable(cause),
        (Call::SendDatagram | Call::ReceiveDatagram, number) if is_about_peer(number) => {
            SocketError::Unreachable(cause)
        }
        // The socket serves all peers and has no end. The fault may pass.
        (Call::SendDatagram | Call::ReceiveDatagram, _) => SocketError::OwnShortage(cause),
        (Call::Accept, number) if ends_accepted_connection(number) => SocketError::Broken(cause),
        // The listener itself may be at fault. Repeated at once, the call could take all processor time.
        (Call::Accept, _) => SocketError::OwnShortage(cause),
        (Call::Listen | Call::Read | Call::Write | Call::Peek, _) => SocketError::Broken(cause),
    }
}

/// Classifies a failure without an error number, which a library reports.
fn classify_kind(call: Call, cause: io::Error) -> SocketError {
    match (cause.kind(), call) {
        (io::ErrorKind::Interrupted, _) => SocketError::Interrupted,
        (io::ErrorKind::WouldBlock, _) => SocketError::WouldBlock,
        (_, Call::Accept | Call::SendDatagram | Call::ReceiveDatagram) => SocketError::OwnShortage(cause),
        (_, Call::Connect) => SocketError::Unreachable(cause),
        (_, Call::Listen | Call::Read | Call::Write | Call::Peek) => SocketError::Broken(cause),
    }
}

/// Whether a connect or datagram with this error has not left this machine: it has no port, route or network,
/// or a firewall.
fn is_local(number: i32) -> bool {
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

/// Whether this is the network's answer to a datagram: its port is closed or its machine unreachable.
fn is_about_peer(number: i32) -> bool {
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

/// Whether an accept with this error has removed a connection from the backlog that had already ended: Linux
/// reports the errors of the connection itself here.
fn ends_accepted_connection(number: i32) -> bool {
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
