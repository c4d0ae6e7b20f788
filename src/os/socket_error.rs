//! The failures that Linux documents for calls on sockets, sorted by what the caller has to do.

use crate::os::system_call::Call;
use std::io;

/// Why a call failed, by what follows from it.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// A signal came before the call did anything: it is to be repeated at once.
    #[error("interrupted by a signal")]
    Interrupted,
    /// Nothing can be done before the socket is ready.
    #[error("not ready")]
    WouldBlock,
    /// This process or its machine lacks descriptors, memory, ports or a network. It says nothing of the peer.
    #[error("{0}")]
    OwnShortage(#[source] io::Error),
    /// The peer did not take the connection: it refused, or its machine does not answer. On a datagram socket: the network
    /// says so of some datagram sent before.
    #[error("{0}")]
    Unreachable(#[source] io::Error),
    /// This one connection is over, or its address cannot be listened at. A listener that reports it still works.
    #[error("{0}")]
    Broken(#[source] io::Error),
}

/// Sorts a failure of this call.
pub fn classify(call: Call, cause: io::Error) -> SocketError {
    let Some(number) = cause.raw_os_error() else { return classify_kind(call, cause) };
    match (call, number) {
        (_, libc::EINTR) => SocketError::Interrupted,
        // On connect: the kernel has no port or no entry in its tables left.
        (Call::Connect, libc::EAGAIN) => SocketError::OwnShortage(cause),
        (_, libc::EAGAIN) => SocketError::WouldBlock,
        (_, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => SocketError::OwnShortage(cause),
        (Call::Connect | Call::SendDatagram, number) if is_local(number) => SocketError::OwnShortage(cause),
        (Call::Connect, _) => SocketError::Unreachable(cause),
        (Call::SendDatagram | Call::ReceiveDatagram, number) if tells_of_peer(number) => {
            SocketError::Unreachable(cause)
        }
        // The socket serves all peers: it is never over, and what is at fault here may pass.
        (Call::SendDatagram | Call::ReceiveDatagram, _) => SocketError::OwnShortage(cause),
        (Call::Accept, number) if ends_accepted_connection(number) => SocketError::Broken(cause),
        // The listener itself may be at fault: repeated at once, it could take up the processor.
        (Call::Accept, _) => SocketError::OwnShortage(cause),
        (Call::Listen | Call::Read | Call::Write | Call::Peek, _) => SocketError::Broken(cause),
    }
}

/// The same for a failure that has no number, since a library reports it.
fn classify_kind(call: Call, cause: io::Error) -> SocketError {
    match (cause.kind(), call) {
        (io::ErrorKind::Interrupted, _) => SocketError::Interrupted,
        (io::ErrorKind::WouldBlock, _) => SocketError::WouldBlock,
        (_, Call::Accept | Call::SendDatagram | Call::ReceiveDatagram) => SocketError::OwnShortage(cause),
        (_, Call::Connect) => SocketError::Unreachable(cause),
        (_, Call::Listen | Call::Read | Call::Write | Call::Peek) => SocketError::Broken(cause),
    }
}

/// A connect or a datagram that fails so has not left this machine: no port, no route, no network, or its own firewall.
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

/// The network's answer to a datagram: nobody listens there, or its machine cannot be reached.
fn tells_of_peer(number: i32) -> bool {
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

/// An accept that fails so has taken a connection from the backlog that had already ended: Linux reports the
/// connection's own errors here.
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
